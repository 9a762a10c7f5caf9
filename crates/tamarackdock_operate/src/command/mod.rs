//! The commands of `tamarackctl`, one module for each or for a group of similar ones.

pub(crate) mod change;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod dump;
pub(crate) mod explain;
mod file;
pub(crate) mod key;
pub(crate) mod metrics;
pub(crate) mod show;
pub(crate) mod submit;
