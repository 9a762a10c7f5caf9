//! Memory and connections of the callers' listener. Its clients are not trusted: they may open many
//! connections, send requests that never end or far ahead, and read no responses.
//!
//! [`Ledger`] decides by the time and the bytes that it is told of. [`Callers`] and [`Account`]
//! carry its decisions out.

mod account;
mod ledger;
#[cfg(test)]
mod tests;

pub(crate) use account::{Account, Callers};
use ledger::Ledger;
pub(crate) use ledger::{Exhausted, Limits, Phase, TASK_BYTES};
