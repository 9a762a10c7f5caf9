use std::{collections::BTreeMap, time::Duration};

/// Faults and counts of a plain service.
#[derive(Debug, Default)]
pub struct State {
    /// Time by which each response is delayed.
    pub delay: Duration,
    /// Number of next calls that run and are answered with status 500.
    pub fail_next: u32,
    /// Number of next calls that run but lose their response.
    pub lose_next: u32,
    /// Number of times that the call with each `x-call-id` ran. More than once is a fault
    /// for a call that must not be repeated.
    pub runs: BTreeMap<String, u64>,
    /// Number of requests with an `authorization` header.
    pub authorized_requests: u64,
    /// Total number of calls.
    pub calls: u64,
}

impl State {
    /// Returns the ids of calls that ran more than once.
    #[must_use]
    pub fn repeated(&self) -> Vec<&str> {
        self.runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.as_str()).collect()
    }
}
