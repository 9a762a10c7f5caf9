use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackdock_types::{fence::Epoch, weight::Version};

use super::{
    EngineLoad, Options, Records, cache::PrefixCache, load::History, silence::Silence, slots::Queue,
};
use crate::thread::Control;

/// State of an engine, which its thread and its handle share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) records: Records,
    pub(super) cache: PrefixCache,
    pub(super) queue: Queue,
    /// Number of slots that are taken.
    pub(super) running: usize,
    /// Number of starts so far.
    pub(super) starts: u64,
    /// Number of loads of weights in progress.
    pub(super) weight_loads: usize,
    /// Version of the weights.
    pub(super) version: Version,
    pub(super) silence: Silence,
    /// Newest epoch of an accepted load order.
    epoch: Epoch,
    /// Start of the last cold time; `None` once that was ended early.
    cold_since: Option<Instant>,
    history: History,
    random: ChaCha8Rng,
    control: Arc<Control>,
}

pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn new(options: Options, control: Arc<Control>) -> Self {
        Self {
            records: Records::default(),
            cache: PrefixCache::new(options.cache_blocks),
            queue: Queue::default(),
            running: 0,
            starts: 0,
            weight_loads: 0,
            version: Version(1),
            silence: Silence::default(),
            epoch: Epoch(0),
            cold_since: None,
            history: History::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            control,
            options,
        }
    }

    /// Starts the engine, cold and with nothing running or cached. Records, weights and the
    /// newest epoch stay.
    pub(super) fn start(&mut self) {
        self.starts += 1;
        self.running = 0;
        self.weight_loads = 0;
        self.queue.clear();
        self.silence = Silence::default();
        self.history = History::default();
        self.make_cold();
    }

    /// Makes the engine cold and empties its cache, while its calls go on.
    pub(super) fn make_cold(&mut self) {
        self.cache.clear();
        self.cold_since = Some(Instant::now());
        self.record_load();
    }

    /// Ends the cold time.
    pub(super) fn make_warm(&mut self) {
        self.cold_since = None;
        self.record_load();
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold_since.is_some_and(|since| since.elapsed() < self.options.cold_time)
    }

    pub(super) fn crash(&mut self) {
        if !self.control.is_down() {
            self.records.crashes += 1;
            self.control.set_down(true);
        }
    }

    pub(super) fn is_down(&self) -> bool {
        self.control.is_down()
    }

    /// Counts a call that got a slot, and crashes the engine if the call is one too many for
    /// a cold engine or its prompt contains the crash marker.
    pub(super) fn begin(&mut self, id: &str, prompt: &str) {
        self.records.count_start(id);
        let is_cold = self.is_cold();
        if is_cold {
            self.records.max_running_cold = self.records.max_running_cold.max(self.running);
        }
        let is_overloaded = is_cold && self.running > self.options.cold_capacity;
        if is_overloaded || prompt.contains(&self.options.crash_marker) {
            self.crash();
        }
    }

    /// Starts a load of weights and returns whether it will succeed. If `checks_epoch` is set
    /// and the order's epoch is older than the newest accepted one, returns that newest epoch
    /// as the error.
    pub(super) fn begin_weight_load(&mut self, epoch: Epoch) -> Result<bool, Epoch> {
        if self.options.checks_epoch && epoch < self.epoch {
            return Err(self.epoch);
        }
        self.epoch = epoch.max(self.epoch);
        self.weight_loads += 1;
        self.record_load();
        Ok(self.random.random::<f64>() >= self.options.weight_load_failure_share)
    }

    /// Ends a load of weights that succeeded, failed or was cancelled.
    pub(super) fn end_weight_load(&mut self) {
        self.weight_loads = self.weight_loads.saturating_sub(1);
        self.record_load();
    }

    pub(super) fn set_weights(&mut self, version: Version) {
        self.version = version;
        // Values that were computed with the old weights can't be used any more.
        self.cache.clear();
        self.record_load();
    }

    pub(super) fn load(&self) -> EngineLoad {
        EngineLoad {
            restart_id: format!("{}-{}", self.options.name, self.starts),
            warm: !self.is_cold(),
            running: self.running,
            queued: self.queue.len(),
            loading: self.weight_loads > 0,
            weight_version: self.version,
            capacity: self.options.capacity,
        }
    }

    /// Adds the current load to the history.
    pub(super) fn record_load(&mut self) {
        let load = self.load();
        self.history.push(load, self.options.report_lag);
    }

    /// Returns the load that `GET /load` reports.
    pub(super) fn reported_load(&mut self) -> EngineLoad {
        let load = self.load();
        self.history.report(load, self.options.report_lag)
    }
}
