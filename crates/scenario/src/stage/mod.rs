//! The world of a scenario with its load.

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
    trainer::{Trainer, Watch},
    world::World,
};
use tamarackdock_types::weight::Version;

use crate::{Error, live::Live};

const POLL: Duration = Duration::from_millis(2);
/// Longest wait for a state that no promise bounds.
const TIMEOUT: Duration = Duration::from_mins(1);

/// A world with callers in front of it.
pub(crate) struct Stage {
    pub(crate) world: World,
    pub(crate) watch: Watch,
    fronts: Vec<Proxy>,
    trainers: BTreeMap<String, Trainer>,
    apps: BTreeMap<String, App>,
    live: Option<Live>,
    withdrawn: Option<Instant>,
    seed: u64,
}

impl Stage {
    /// Starts a world as a script describes it.
    pub(crate) fn start(seed: u64, sizes: &rhai::Map) -> Result<Self, Error> {
        let world = World::spawn(options::read(seed, sizes)?)?;
        let nodes = world.nodes().into_iter();
        Ok(Self {
            fronts: nodes.map(Proxy::spawn).collect::<Result<_, _>>()?,
            world,
            watch: Watch::new(Version(1)),
            trainers: BTreeMap::new(),
            apps: BTreeMap::new(),
            live: None,
            withdrawn: None,
            seed,
        })
    }

    /// Returns an engine by its index.
    pub(crate) fn engine(&self, index: i64) -> Result<&Engine, Error> {
        let engine = usize::try_from(index).ok().and_then(|index| self.world.engines.get(index));
        engine.ok_or_else(|| Error::unknown("engine", &index))
    }

    /// Withdraws an account's key.
    pub(crate) fn withdraw(&mut self, account: &str) -> Result<(), Error> {
        self.world.withdraw_key(account, &format!("{account}-key"))?;
        self.withdrawn = Some(Instant::now());
        Ok(())
    }

    /// Returns for how long the live stream went on after the withdrawal, in ms.
    pub(crate) fn served_after(&self) -> i64 {
        let last = self.live.as_ref().and_then(Live::last_served);
        let after = last.zip(self.withdrawn).map(|(last, at)| last.saturating_duration_since(at));
        after.map_or(0, |after| i64::try_from(after.as_millis()).unwrap_or(i64::MAX))
    }

    /// Returns the crashes of all engines.
    pub(crate) fn crashes(&self) -> i64 {
        let crashes = self.world.engines.iter().map(|engine| engine.read(|r| r.crashes));
        i64::try_from(crashes.sum::<u64>()).unwrap_or(i64::MAX)
    }

    /// Returns whether all engines have loaded a version.
    pub(crate) fn have_loaded(&self, version: Version) -> bool {
        self.world.engines.iter().all(|engine| engine.load().weight_version >= version)
    }
}

/// Waits until a condition holds and returns whether it did within the bound.
pub(crate) fn until(bound: Duration, condition: impl Fn() -> bool) -> bool {
    let begin = Instant::now();
    while !condition() {
        if begin.elapsed() > bound {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}
