use std::cell::Cell;

use tamarackdock_types::{HostName, clock::Instant};

/// Generates request ids that are unique among all nodes and restarts: host, process id,
/// start of the process in milliseconds, and a counter.
#[derive(Debug)]
pub(crate) struct RequestIds {
    prefix: String,
    next: Cell<u64>,
}

impl RequestIds {
    pub(crate) fn new(host: &HostName, started: Instant) -> Self {
        let prefix = format!("{host}-{}-{}", std::process::id(), started.as_millis());
        Self { prefix, next: Cell::new(0) }
    }

    pub(crate) fn next(&self) -> String {
        let number = self.next.get();
        self.next.set(number + 1);
        format!("{}-{number}", self.prefix)
    }
}
