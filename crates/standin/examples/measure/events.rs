use std::{
    io,
    time::{Duration, Instant},
};

use standin::{app::App, trainer::WeightVersions, world::World};
use tamarackdock_config::deployment::DataCentreState;
use tamarackdock_types::weight::Version;

use crate::workload::spawn_flood;

/// Time from the moment when an engine is found crashed to its restart.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Data centre that is taken out and in again.
const TAKEN_OUT: &str = "d2";

/// A fault or change during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    /// Weights of this version are published.
    Publish(u64),
    /// The engine with this index crashes.
    Crash(usize),
    FloodBegins,
    FloodEnds,
    DataCentreOut,
    DataCentreIn,
    /// Nothing is changed: the data centre has had time to take its share of the work
    /// again.
    DataCentreRecovered,
    End,
}

/// Events with their times from the start, in ms.
pub(crate) const SCHEDULE: [(u64, Event); 10] = [
    (2000, Event::Publish(2)),
    (3500, Event::Crash(0)),
    (5000, Event::FloodBegins),
    (6000, Event::Publish(3)),
    (8000, Event::FloodEnds),
    (9000, Event::DataCentreOut),
    (11_000, Event::Publish(4)),
    (12_000, Event::DataCentreIn),
    (13_500, Event::DataCentreRecovered),
    (15_000, Event::End),
];

/// Applies the events and restarts crashed engines.
pub(crate) struct Events<'a> {
    pub(crate) world: &'a mut World,
    pub(crate) versions: &'a WeightVersions,
    /// The app that floods the nodes, while it runs.
    flood: Option<App>,
    /// When each engine was found crashed, or `None` while it runs.
    crashed_at: Vec<Option<Instant>>,
}

impl<'a> Events<'a> {
    pub(crate) fn new(world: &'a mut World, versions: &'a WeightVersions) -> Self {
        let crashed_at = vec![None; world.engines.len()];
        Self { world, versions, flood: None, crashed_at }
    }

    /// Applies one event.
    pub(crate) fn apply(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Publish(version) => self.world.publish_weights(Version(version), self.versions),
            Event::Crash(engine) => self.world.engines[engine].crash(),
            Event::FloodBegins => self.flood = Some(spawn_flood(self.world)?),
            Event::FloodEnds => self.flood = None,
            Event::DataCentreOut => self.world.set_data_centre(TAKEN_OUT, DataCentreState::Out)?,
            Event::DataCentreIn => self.world.set_data_centre(TAKEN_OUT, DataCentreState::In)?,
            Event::DataCentreRecovered | Event::End => {}
        }
        Ok(())
    }

    /// Restarts engines that were found crashed at least `RESTART_TIME` ago.
    pub(crate) fn restart_crashed(&mut self) {
        for (engine, crashed_at) in self.world.engines.iter().zip(&mut self.crashed_at) {
            match crashed_at {
                None if engine.is_crashed() => *crashed_at = Some(Instant::now()),
                Some(at) if at.elapsed() >= RESTART_TIME => {
                    engine.restart();
                    *crashed_at = None;
                }
                _ => {}
            }
        }
    }
}
