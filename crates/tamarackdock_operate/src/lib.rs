//! The commands of `tamarackctl`. See `docs/operators/`.

mod accepted_change;
mod arguments;
mod client;
mod command;
mod console;
mod difference;
mod error;
mod error_response;
mod exit;
mod random;
mod run;
mod spec;

pub use console::Console;
pub use error::Error;
pub use exit::Exit;
pub use run::run;
