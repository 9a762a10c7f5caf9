use std::{
    io,
    time::{Duration, Instant},
};

use standin::{app::App, trainer::Watch, world::World};
use tamarackdock_config::deployment::DataCentreState;
use tamarackdock_types::weight::Version;

use crate::work::spawn_flood;

/// Time from an engine's crash to its restart.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Data centre that is taken out.
const OUT: &str = "d2";

/// What happens during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    Publish(u64),
    Crash(usize),
    FloodBegins,
    FloodEnds,
    Out,
    In,
    /// The data centre had time to take its share of the work again.
    Returned,
    End,
}

/// Events with their times from the start, in ms.
pub(crate) const SCHEDULE: [(u64, Event); 10] = [
    (2000, Event::Publish(2)),
    (3500, Event::Crash(0)),
    (5000, Event::FloodBegins),
    (6000, Event::Publish(3)),
    (8000, Event::FloodEnds),
    (9000, Event::Out),
    (11_000, Event::Publish(4)),
    (12_000, Event::In),
    (13_500, Event::Returned),
    (15_000, Event::End),
];

/// Carries out the events and restarts crashed engines.
pub(crate) struct Events<'a> {
    pub(crate) world: &'a mut World,
    pub(crate) watch: &'a Watch,
    flood: Option<App>,
    crashed: Vec<Option<Instant>>,
}

impl<'a> Events<'a> {
    pub(crate) fn new(world: &'a mut World, watch: &'a Watch) -> Self {
        let crashed = vec![None; world.engines.len()];
        Self { world, watch, flood: None, crashed }
    }

    /// Carries out one event.
    pub(crate) fn apply(&mut self, event: Event) -> io::Result<()> {
        match event {
            Event::Publish(version) => self.world.publish_weights(Version(version), self.watch),
            Event::Crash(engine) => self.world.engines[engine].crash(),
            Event::FloodBegins => self.flood = Some(spawn_flood(self.world)?),
            Event::FloodEnds => self.flood = None,
            Event::Out => self.world.set_data_centre(OUT, DataCentreState::Out)?,
            Event::In => self.world.set_data_centre(OUT, DataCentreState::In)?,
            Event::Returned | Event::End => {}
        }
        Ok(())
    }

    /// Starts engines again that crashed a while ago.
    pub(crate) fn restart_crashed(&mut self) {
        for (engine, crashed) in self.world.engines.iter().zip(&mut self.crashed) {
            match crashed {
                None if engine.is_crashed() => *crashed = Some(Instant::now()),
                Some(at) if at.elapsed() >= RESTART_TIME => {
                    engine.restart();
                    *crashed = None;
                }
                _ => {}
            }
        }
    }
}
