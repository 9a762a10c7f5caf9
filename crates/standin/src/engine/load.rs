use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use tamarackdock_types::weight::Version;

/// Body of the response to `GET /load`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Id of the engine's current start, which differs after a restart.
    pub restart_id: String,
    /// Whether the engine is warm and can run `capacity` calls; a cold one can run fewer.
    pub warm: bool,
    /// Number of calls that run.
    pub running: usize,
    /// Number of calls that wait for a slot.
    pub queued: usize,
    /// Whether a load of weights is in progress.
    pub loading: bool,
    /// Version of the weights that new tokens are generated with.
    pub weight_version: Version,
    /// Number of calls that can run at the same time when the engine is warm.
    pub capacity: usize,
}

/// Recent values of the load, so that `GET /load` can report changes with a lag.
#[derive(Debug, Default)]
pub(super) struct History(VecDeque<(Instant, EngineLoad)>);

impl History {
    /// Adds the current load and returns the one to report.
    pub(super) fn report(&mut self, load: EngineLoad, lag: Duration) -> EngineLoad {
        self.push(load.clone(), lag);
        self.0.front().map_or(load, |(_, reported)| reported.clone())
    }

    /// Adds the current load if it changed, and drops those that are no longer reported.
    pub(super) fn push(&mut self, load: EngineLoad, lag: Duration) {
        if self.0.back().is_none_or(|(_, last)| *last != load) {
            self.0.push_back((Instant::now(), load));
        }
        while self.0.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.0.pop_front();
        }
    }
}
