use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tamarackdock_types::{fence::Epoch, weight::Version};

use super::{Load, Options, Records, cache::Cache, load::History, silence::Silence, slots::Queue};
use crate::thread::Switches;

/// Everything that an engine holds, shared between its thread and its handle.
#[derive(Debug)]
pub(super) struct State {
    pub(super) options: Options,
    pub(super) records: Records,
    pub(super) cache: Cache,
    pub(super) queue: Queue,
    pub(super) running: usize,
    pub(super) starts: u64,
    /// Loads in progress.
    pub(super) loads: usize,
    pub(super) version: Version,
    pub(super) silence: Silence,
    epoch: Epoch,
    cold_since: Option<Instant>,
    history: History,
    random: ChaCha8Rng,
    switches: Arc<Switches>,
}

pub(super) fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl State {
    pub(super) fn new(options: Options, switches: Arc<Switches>) -> Self {
        Self {
            records: Records::default(),
            cache: Cache::new(options.cache_blocks),
            queue: Queue::default(),
            running: 0,
            starts: 0,
            loads: 0,
            version: Version(1),
            silence: Silence::default(),
            epoch: Epoch(0),
            cold_since: None,
            history: History::default(),
            random: ChaCha8Rng::seed_from_u64(options.seed),
            switches,
            options,
        }
    }

    /// Begins a life of the engine with nothing running and nothing cached.
    pub(super) fn start(&mut self) {
        self.starts += 1;
        self.running = 0;
        self.loads = 0;
        self.queue.clear();
        self.silence = Silence::default();
        self.history = History::default();
        self.reset();
    }

    /// Makes the engine cold and empties its cache while its calls go on.
    pub(super) fn reset(&mut self) {
        self.cache.clear();
        self.cold_since = Some(Instant::now());
        self.note_load();
    }

    /// Ends the cold time.
    pub(super) fn warm(&mut self) {
        self.cold_since = None;
        self.note_load();
    }

    pub(super) fn is_cold(&self) -> bool {
        self.cold_since.is_some_and(|since| since.elapsed() < self.options.cold_time)
    }

    pub(super) fn crash(&mut self) {
        if !self.switches.is_down() {
            self.records.crashes += 1;
            self.switches.set_down(true);
        }
    }

    pub(super) fn is_down(&self) -> bool {
        self.switches.is_down()
    }

    /// Counts a call that got a slot, and crashes if it is one too many or carries the marker.
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

    /// Checks a load order's epoch and decides whether the load succeeds.
    pub(super) fn begin_load(&mut self, epoch: Epoch) -> Result<bool, Epoch> {
        if self.options.checks_epoch && epoch < self.epoch {
            return Err(self.epoch);
        }
        self.epoch = epoch.max(self.epoch);
        self.loads += 1;
        self.note_load();
        Ok(self.random.random::<f64>() >= self.options.load_failure_share)
    }

    /// Ends a load, whether it succeeded, failed or was broken off.
    pub(super) fn end_load(&mut self) {
        self.loads = self.loads.saturating_sub(1);
        self.note_load();
    }

    pub(super) fn finish_load(&mut self, version: Version) {
        self.version = version;
        // Cached values of the old weights are of no use.
        self.cache.clear();
        self.note_load();
    }

    pub(super) fn load(&self) -> Load {
        Load {
            restart_id: format!("{}-{}", self.options.name, self.starts),
            warm: !self.is_cold(),
            running: self.running,
            queued: self.queue.len(),
            loading: self.loads > 0,
            weight_version: self.version,
            capacity: self.options.capacity,
        }
    }

    pub(super) fn note_load(&mut self) {
        let load = self.load();
        self.history.push(load, self.options.report_lag);
    }

    pub(super) fn shown_load(&mut self) -> Load {
        let load = self.load();
        self.history.show(load, self.options.report_lag)
    }
}
