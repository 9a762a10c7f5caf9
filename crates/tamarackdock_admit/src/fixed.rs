use std::{collections::HashSet, time::Duration};

use tamarackdock_types::clock::Instant;

use crate::{Action, Admission, Call};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Baseline admission control with a fixed number of concurrent calls and no queue.
#[derive(Debug, Clone)]
pub struct Fixed {
    limit: usize,
    running: HashSet<u64>,
}

impl Fixed {
    /// Creates an admission control that allows `limit` concurrent calls.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, running: HashSet::new() }
    }
}

impl Admission for Fixed {
    fn offer(&mut self, call: Call, _now: Instant) -> Vec<Action> {
        if self.running.len() >= self.limit {
            return vec![Action::Refuse { id: call.id, retry_after: RETRY_AFTER }];
        }
        self.running.insert(call.id);
        vec![Action::Start { id: call.id }]
    }

    fn finish(&mut self, id: u64, _now: Instant) -> Vec<Action> {
        self.running.remove(&id);
        Vec::new()
    }

    fn tick(&mut self, _now: Instant) -> Vec<Action> {
        Vec::new()
    }

    /// Has no effect, since the limit is fixed.
    fn set_capacity(&mut self, _capacity: u64, _now: Instant) -> Vec<Action> {
        Vec::new()
    }
}
