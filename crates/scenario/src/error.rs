use std::io;

use derive_more::{Display, Error, From};
use rhai::EvalAltResult;

/// An error that ends a scenario before its last line.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The script called a function that needs a world before it called `world`.
    #[display("no world runs; start one with `world(#{{}})`")]
    NoWorld,
    /// The script refers to something that does not exist.
    #[display("there is no {what} `{name}`")]
    #[from(ignore)]
    Unknown {
        /// What kind of thing it is, such as `node` or `data centre`.
        what: &'static str,
        /// Name, index or value as the script gives it.
        name: String,
    },
    /// A part of the world can't be started, or a request to a node failed.
    #[display("an operation on the world failed: {_0}")]
    Io(io::Error),
    /// The script is not valid, or one of its function calls failed.
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
