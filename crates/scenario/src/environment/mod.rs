//! The world of a scenario, and the trainers and apps that call it.

mod load;
mod nodes;
mod options;

use std::{
    collections::BTreeMap,
    thread,
    time::{Duration, Instant},
};

use standin::{
    app::App,
    engine::Engine,
    proxy::Proxy,
    trainer::{Trainer, WeightVersions},
    world::World,
};
use tamarackdock_types::weight::Version;

use crate::{Error, background_stream::BackgroundStream};

const POLL: Duration = Duration::from_millis(2);
/// Longest wait for a state that must come, but for which the design sets no bound.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A world and its callers, which reach each node through a proxy.
pub(crate) struct Environment {
    pub(crate) world: World,
    pub(crate) weight_versions: WeightVersions,
    load_balancers: Vec<Proxy>,
    trainers: BTreeMap<String, Trainer>,
    apps: BTreeMap<String, App>,
    stream: Option<BackgroundStream>,
    withdrawn_at: Option<Instant>,
    seed: u64,
}

impl Environment {
    /// Starts a world with the options of a script.
    pub(crate) fn start(seed: u64, script_options: &rhai::Map) -> Result<Self, Error> {
        let world = World::spawn(options::read(seed, script_options)?)?;
        let nodes = world.caller_addresses().into_iter();
        Ok(Self {
            load_balancers: nodes.map(Proxy::spawn).collect::<Result<_, _>>()?,
            world,
            weight_versions: WeightVersions::new(Version(1)),
            trainers: BTreeMap::new(),
            apps: BTreeMap::new(),
            stream: None,
            withdrawn_at: None,
            seed,
        })
    }

    /// Returns an engine by its index.
    pub(crate) fn engine(&self, index: i64) -> Result<&Engine, Error> {
        let engine = usize::try_from(index).ok().and_then(|index| self.world.engines.get(index));
        engine.ok_or_else(|| Error::unknown("engine", &index))
    }

    /// Withdraws the key of an account and notes the time.
    pub(crate) fn withdraw(&mut self, account: &str) -> Result<(), Error> {
        self.world.withdraw_key(account, &format!("{account}-key"))?;
        self.withdrawn_at = Some(Instant::now());
        Ok(())
    }

    /// Returns how long the stream received bytes after the withdrawal, in ms. It is
    /// 0 without a stream or a withdrawal.
    pub(crate) fn served_after_ms(&self) -> i64 {
        let last = self.stream.as_ref().and_then(BackgroundStream::last_received);
        let elapsed =
            last.zip(self.withdrawn_at).map(|(last, at)| last.saturating_duration_since(at));
        elapsed.map_or(0, |elapsed| i64::try_from(elapsed.as_millis()).unwrap_or(i64::MAX))
    }

    /// Returns the number of crashes of all engines together.
    pub(crate) fn crashes(&self) -> i64 {
        let crashes = self.world.engines.iter().map(|engine| engine.read(|r| r.crashes));
        i64::try_from(crashes.sum::<u64>()).unwrap_or(i64::MAX)
    }

    /// Returns whether all engines have loaded a weight version or a later one.
    pub(crate) fn have_loaded(&self, version: Version) -> bool {
        self.world.engines.iter().all(|engine| engine.load().weight_version >= version)
    }
}

/// Waits until a condition holds or the time is up, and returns whether it held.
pub(crate) fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let begin = Instant::now();
    while !condition() {
        if begin.elapsed() > timeout {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}
