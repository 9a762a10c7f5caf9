use std::{io, net::SocketAddr};

use derive_more::{Display, Error as StdError, From};
use tamarackdock_config::reader::Report;
use tamarackdock_types::{NameError, key::HashError};

use crate::{Exit, error_response::ErrorResponse};

/// The reason why a command did not succeed. Each message ends with what the operator can do.
#[derive(Debug, Display, StdError, From)]
pub enum Error {
    /// The command line is not valid.
    #[from(skip)]
    #[display("{message}; see `tamarackctl{command} --help`")]
    Usage {
        /// Words of the command with a leading space; empty if no command was found.
        command: String,
        /// What is wrong with the command line.
        message: String,
    },
    /// A file can't be read.
    #[from(skip)]
    #[display("can't read `{path}`: {source}; check the path and its permissions")]
    File {
        /// Path of the file, as given.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is not valid.
    #[display("{_0}")]
    Report(Report),
    /// The name of an account or data centre is not valid.
    #[display("{_0}; correct the name")]
    Name(NameError),
    /// The hash of a key is not valid.
    #[display("{_0}")]
    Hash(HashError),
    /// Standard input holds no key in the expected form.
    #[from(skip)]
    #[display(
        "standard input holds no key; pass one line of 1 to 4096 visible ASCII characters without spaces"
    )]
    Key,
    /// The operating system provides no random bytes.
    #[from(skip)]
    #[display("the operating system provides no random bytes; run the command on another host")]
    Random,
    /// Reading standard input or writing the output failed.
    #[display("input or output failed: {_0}; check the terminal or pipe")]
    Console(io::Error),
    /// The asynchronous runtime for network calls can't be created.
    #[from(skip)]
    #[display("can't start the network runtime: {_0}; raise the limit of open files")]
    Runtime(#[error(not(source))] io::Error),
    /// No node accepted the request, and it had no effect.
    #[from(skip)]
    #[display("no node accepted the request; check `--node` and that a node runs: {tried}")]
    Unreachable {
        /// Addresses of the nodes tried, each with its error.
        tried: String,
    },
    /// A node refused the request.
    #[display("{_0}")]
    Refused(ErrorResponse),
    /// The outcome of a change is not known.
    #[from(skip)]
    #[display("the outcome is unknown, node {address}: {cause}; repeat with `{repeat_options}`")]
    Unknown {
        /// Node that was sent the request.
        address: SocketAddr,
        /// Error of the call, or the node's answer.
        cause: String,
        /// Options with which the command can safely be repeated.
        repeat_options: String,
    },
    /// A node's answer doesn't have the form that `docs/api.md` defines.
    #[from(skip)]
    #[display("can't parse the answer of node {address}; use the `tamarackctl` of its release")]
    Answer {
        /// Node that gave the answer.
        address: SocketAddr,
    },
    /// Some of the nodes did not answer.
    #[from(skip)]
    #[display("no state from {nodes}; check that these nodes run")]
    Partial {
        /// Addresses of these nodes, each with its error.
        nodes: String,
    },
}

impl Error {
    /// Returns the exit code of the command.
    #[must_use]
    pub fn exit_code(&self) -> Exit {
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
