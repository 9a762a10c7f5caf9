//! The commands of `tamarackctl`. See `docs/operators/`.

mod accepted;
mod arguments;
mod client;
mod command;
mod console;
mod difference;
mod error;
mod exit;
mod operation;
mod refused;
mod run;
mod spec;

pub use console::Console;
pub use error::Error;
pub use exit::Exit;
pub use run::run;
