//! A runner for scenario files in `rhai`. A scenario starts a world of nodes
//! and stand-ins, provokes faults and checks what the stand-ins counted.
//! `docs/scenarios.md` lists the vocabulary.

mod call;
mod error;
mod live;
mod run;
mod stage;
mod vocabulary;

pub use error::Error;
pub use run::run;
