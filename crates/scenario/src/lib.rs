//! Runs scenario scripts written in `rhai`. A scenario starts nodes and stand-ins
//! in one process, injects faults and checks what the stand-ins counted.
//! `docs/scenarios.md` lists the functions that a script can call.

mod background_stream;
mod call;
mod environment;
mod error;
mod functions;
mod run;

pub use error::Error;
pub use run::run;
