use std::{io, net::SocketAddr};

use derive_more::{Display, Error as StdError, From};
use tamarackdock_config::reader::Report;
use tamarackdock_types::{NameError, key::HashError};

use crate::{Exit, refused::Refused};

/// The reason why a command did not succeed. Each message ends with a remedy.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The command line is not valid.
    #[from(skip)]
    #[display("{message}; see `tamarackctl{command} --help`")]
    Usage {
        /// Command with a leading space, or nothing.
        command: String,
        /// What is wrong.
        message: String,
    },
    /// A file can't be read.
    #[from(skip)]
    #[display("can't read `{path}`: {source}; check the path and its permissions")]
    File {
        /// Path as given.
        path: String,
        /// Error of the system.
        source: io::Error,
    },
    /// A file is not valid.
    #[display("{_0}")]
    Report(Report),
    /// An account or data centre name is not valid.
    #[display("{_0}; correct the name")]
    Name(NameError),
    /// A hash is not valid.
    #[display("{_0}")]
    Hash(HashError),
    /// Standard input holds no usable key.
    #[from(skip)]
    #[display("standard input holds no key; pass one line of visible ASCII without spaces")]
    Key,
    /// The operating system gives no random bytes.
    #[from(skip)]
    #[display("the operating system gives no random bytes; run the command on another host")]
    Random,
    /// Reading standard input or writing the output failed.
    #[display("input or output failed: {_0}; check the terminal or pipe")]
    Console(io::Error),
    /// No event loop can be made for the calls.
    #[from(skip)]
    #[display("can't start the network runtime: {_0}; raise the limit of open files")]
    Runtime(#[error(not(source))] io::Error),
    /// No node took the request, and it had no effect.
    #[from(skip)]
    #[display("no node took the request; check `--node` and that a node runs: {tried}")]
    Unreachable {
        /// Addresses with the error of each.
        tried: String,
    },
    /// A node refused the request.
    #[display("{_0}")]
    Refused(Refused),
    /// The outcome of a change is not known.
    #[from(skip)]
    #[display("the outcome is unknown, node {address}: {cause}; repeat with `{repeat}`")]
    Unknown {
        /// Node that had the request.
        address: SocketAddr,
        /// What happened.
        cause: String,
        /// Options that make the repetition safe.
        repeat: String,
    },
    /// A node answered something else than `docs/api.md` says.
    #[from(skip)]
    #[display(
        "the answer of node {address} is not understood; use the `tamarackctl` of its release"
    )]
    Answer {
        /// Node.
        address: SocketAddr,
    },
    /// Some of the nodes did not answer.
    #[from(skip)]
    #[display("no state from {nodes}; check that these nodes run")]
    Partial {
        /// Addresses with the error of each.
        nodes: String,
    },
}

impl Error {
    /// Returns the exit code of the command.
    #[must_use]
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage { .. }
            | Self::File { .. }
            | Self::Report(_)
            | Self::Name(_)
            | Self::Hash(_)
            | Self::Key => Exit::Invalid,
            Self::Unknown { .. } => Exit::Unknown,
            _ => Exit::Failed,
        }
    }
}
