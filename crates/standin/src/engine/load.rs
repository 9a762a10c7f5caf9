use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tamarackdock_types::weight::Version;

/// Response of `GET /load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Changes when the engine restarts.
    pub restart_id: String,
    /// Whether the engine is warm.
    pub warm: bool,
    /// Calls that run.
    pub running: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Whether it loads weights.
    pub loading: bool,
    /// Version of the weights.
    pub weight_version: Version,
    /// Calls that can run at the same time.
    pub capacity: usize,
}

/// Past loads, of which the newest that is older than the lag is shown.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<(Instant, Load)>);

impl History {
    /// Adds a load and returns the one to show.
    pub(super) fn show(&mut self, load: Load, lag: Duration) -> Load {
        self.push(load.clone(), lag);
        self.0.front().map_or(load, |(_, shown)| shown.clone())
    }

    /// Adds a load.
    pub(super) fn push(&mut self, load: Load, lag: Duration) {
        if self.0.back().is_none_or(|(_, last)| *last != load) {
            self.0.push_back((Instant::now(), load));
        }
        while self.0.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.0.pop_front();
        }
    }
}
