use std::io;

use derive_more::{Display, Error as StdError};

/// The reason why a node can't start.
#[derive(Debug, Display, StdError)]
pub enum Error {
    /// A port can't be bound.
    #[display("can't bind the {port} port: {source}")]
    Bind {
        /// Kind of the port: `caller`, `peer` or `operator`.
        port: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[display("can't register the metrics: {_0}")]
    Metrics(prometheus::Error),
}
