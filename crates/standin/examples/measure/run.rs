use std::{
    io, thread,
    time::{Duration, Instant, SystemTime},
};

use standin::{engine::Engine, trainer::WeightVersions, world::World};
use tamarackdock_config::settings::Policy;
use tamarackdock_types::weight::Version;

use crate::{
    cost::Cost,
    events::{Event, Events, SCHEDULE},
    finished_run::{CallCounts, FinishedRun},
    measurements::Measurements,
    profile::Profile,
    usage_reports::UsageReports,
    workload::Workload,
};

const POLL: Duration = Duration::from_millis(50);

/// Runs the schedule of events once with a policy and returns the measurements.
pub(crate) fn run(
    profile: &Profile,
    name: &str,
    policy: Policy,
    seed: u64,
) -> io::Result<Measurements> {
    let mut world = World::spawn(profile.world(policy, seed))?;
    world.engines.iter().for_each(Engine::make_warm);
    let weight_versions = WeightVersions::new(Version(1));
    let mut workload = Workload::spawn(&world, profile, seed, &weight_versions)?;
    let (begin, started_at) = (Instant::now(), SystemTime::now());
    let mut cost = Cost::begin(&world, profile);
    let mut out_period = [CallCounts::default(); 2];
    let mut events = Events::new(&mut world, &weight_versions);
    for (at, event) in SCHEDULE {
        while begin.elapsed() < Duration::from_millis(at) {
            events.restart_crashed();
            cost.accumulate(events.world);
            thread::sleep(POLL);
        }
        events.apply(event)?;
        match event {
            Event::DataCentreOut => out_period[0] = CallCounts::count(&workload),
            Event::DataCentreRecovered => out_period[1] = CallCounts::count(&workload),
            _ => {}
        }
    }
    drop(events);
    cost.accumulate(&world);
    let finished =
        FinishedRun { world: &world, workload: &workload, profile, cost: &cost, out_period, begin };
    let mut measurements = finished.measurements(name, seed);
    let received = finished.tokens_delivered();
    let run_period = [started_at, SystemTime::now()];
    workload.stop();
    world.shut_down();
    measurements.reports = UsageReports::read(&world, run_period, received);
    Ok(measurements)
}
