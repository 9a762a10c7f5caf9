use std::{
    io, thread,
    time::{Duration, Instant, SystemTime},
};

use standin::{engine::Engine, trainer::Watch, world::World};
use tamarackdock_config::settings::Policy;
use tamarackdock_types::weight::Version;

use crate::{
    events::{Event, Events, SCHEDULE},
    figures::Figures,
    gather::{Calls, Gathered},
    profile::Profile,
    reports::Reports,
    spend::Spend,
    work::Work,
};

const POLL: Duration = Duration::from_millis(50);

/// Runs the schedule once with a policy.
pub(crate) fn run(profile: &Profile, name: &str, policy: Policy, seed: u64) -> io::Result<Figures> {
    let mut world = World::spawn(profile.world(policy, seed))?;
    world.engines.iter().for_each(Engine::warm);
    let watch = Watch::new(Version(1));
    let mut work = Work::spawn(&world, profile, seed, &watch)?;
    let (begin, clock) = (Instant::now(), SystemTime::now());
    let mut spend = Spend::begin(&world, profile);
    let mut marks = [Calls::default(); 2];
    let mut events = Events::new(&mut world, &watch);
    for (at, event) in SCHEDULE {
        while begin.elapsed() < Duration::from_millis(at) {
            events.restart_crashed();
            spend.count(events.world);
            thread::sleep(POLL);
        }
        events.apply(event)?;
        match event {
            Event::Out => marks[0] = Calls::count(&work),
            Event::Returned => marks[1] = Calls::count(&work),
            _ => {}
        }
    }
    drop(events);
    spend.count(&world);
    let gathered = Gathered { world: &world, work: &work, profile, spend: &spend, marks, begin };
    let mut figures = gathered.figures(name, seed);
    let received = gathered.tokens_delivered();
    let span = [clock, SystemTime::now()];
    work.stop();
    world.shut_down();
    figures.reports = Reports::read(&world, span, received);
    Ok(figures)
}
