use std::io;

use derive_more::{Display, Error, From};
use rhai::EvalAltResult;

/// The reason why a scenario can't be run to its end.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The script asks for something before it has started a world.
    #[display("no world runs; start one with `world(#{{}})`")]
    NoWorld,
    /// The script names something that does not exist.
    #[display("there is no {what} `{name}`")]
    #[from(ignore)]
    Unknown {
        /// Kind of the thing.
        what: &'static str,
        /// Name as the script has it.
        name: String,
    },
    /// A part of the world can't be started.
    #[display("a part of the world can't be started: {_0}")]
    Io(io::Error),
    /// The script is not valid, or a call in it failed.
    #[display("the script failed: {_0}")]
    Script(Box<EvalAltResult>),
}

impl Error {
    pub(crate) fn unknown(what: &'static str, name: &(impl ToString + ?Sized)) -> Self {
        Self::Unknown { what, name: name.to_string() }
    }
}

impl From<Error> for Box<EvalAltResult> {
    fn from(error: Error) -> Self {
        error.to_string().into()
    }
}
