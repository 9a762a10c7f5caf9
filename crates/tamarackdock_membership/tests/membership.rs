//! Membership in seeded schedules of faults. A schedule that fails is printed with its seed.

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use tamarackdock_membership::{Health, MESSAGE_BYTES, PROBE_PERIOD, detection_bound};
use world::{Change, Conditions, World, host};

const NODES: usize = 7;
const SCHEDULES: u32 = 1000;

fn conditions() -> impl Strategy<Value = Conditions> {
    let cuts = prop::collection::vec(prop::bool::weighted(0.4), NODES * NODES);
    (cuts, 0..40_u64, 10..800_u64).prop_map(|(cuts, loss_percent, delay_ms)| Conditions {
        cuts,
        loss_percent,
        delay_ms,
    })
}

/// Returns conditions in which each pair of nodes is connected, directly or through `hub`.
fn connected(mut cuts: Vec<bool>, hub: usize) -> Conditions {
    for node in 0..NODES {
        cuts[hub * NODES + node] = false;
        cuts[node * NODES + hub] = false;
    }
    Conditions { cuts, loss_percent: 5, delay_ms: 100 }
}

fn bound_ms() -> u64 {
    let bound = detection_bound(u32::try_from(NODES).unwrap());
    u64::try_from(bound.as_millis()).unwrap()
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    phases: Vec<(u64, Conditions)>,
    /// Links that are cut after the faults, except for those of `hub`.
    final_cuts: Vec<bool>,
    hub: usize,
    killed: (usize, u64),
    restarted: (usize, u64),
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let phases = prop::collection::vec((2000..12_000_u64, conditions()), 1..3);
    let final_cuts = prop::collection::vec(prop::bool::weighted(0.3), NODES * NODES);
    let killed = (0..NODES, 0..40_000_u64);
    let restarted = (0..NODES, 0..12_000_u64);
    (any::<u64>(), phases, final_cuts, 0..NODES, killed, restarted).prop_map(
        |(seed, phases, final_cuts, hub, killed, restarted)| Schedule {
            seed,
            phases,
            final_cuts,
            hub,
            killed,
            restarted,
        },
    )
}

fn check(schedule: Schedule) {
    let Schedule { seed, phases, final_cuts, hub, killed: (dead, killed_at), restarted } = schedule;
    let mut world = World::new(seed, NODES, Conditions::good(NODES));
    // Measuring sizes takes most of the time, so only every eighth seed measures them.
    world.measured = seed.is_multiple_of(8);
    let mut healed = 3000;
    for (span, conditions) in phases {
        world.at(healed, Change::Conditions(conditions));
        healed += span;
    }
    world.at(healed, Change::Conditions(connected(final_cuts, hub)));
    world.at(restarted.1 % healed, Change::Restart(restarted.0));
    let dead = Some(dead).filter(|dead| *dead != hub && *dead != restarted.0);
    let killed_at = killed_at % (healed + 8000);
    if let Some(dead) = dead {
        world.at(killed_at, Change::Kill(dead));
    }
    let names: Vec<_> = (0..NODES).map(host).collect();
    let mut since = vec![healed; NODES * NODES];
    world.run(healed + bound_ms() + 10_000, |world, observer| {
        for subject in (0..NODES).filter(|subject| *subject != observer) {
            let health = world.nodes[observer].health(&names[subject]);
            let since = &mut since[observer * NODES + subject];
            if Some(subject) == dead && world.now > killed_at {
                let due = healed.max(killed_at) + bound_ms();
                let found = health.is_none_or(|health| health == Health::Dead);
                assert!(
                    found || world.now <= due,
                    "node {observer} has not found that node {subject} is dead"
                );
            } else if health == Some(Health::Dead) {
                let late = world.now.saturating_sub(*since);
                assert!(
                    late <= bound_ms(),
                    "node {observer} considers {subject} dead for {late} ms"
                );
            } else {
                *since = healed.max(world.now);
            }
        }
    });
    assert!(world.largest <= MESSAGE_BYTES, "a message has {} bytes", world.largest);
}

fn config(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    // Two tests, each with half of the schedules, run in parallel.
    let cases = SCHEDULES / 2;
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(config(0x11fe))]

    /// Guards against a live member that stays declared dead although others reach it, against a
    /// dead member that is not detected in time or is considered alive again, and against
    /// messages larger than the bound.
    #[test]
    fn live_and_dead_members_are_told_apart(schedule in schedule()) {
        check(schedule);
    }
}

proptest! {
    #![proptest_config(config(0x11ff))]

    /// Guards against the same faults in the second half of the schedules.
    #[test]
    fn live_and_dead_members_are_told_apart_with_another_seed(schedule in schedule()) {
        check(schedule);
    }
}

/// Guards against control traffic that grows with the number of nodes or exceeds 5,000 bytes/s
/// for a node, sent and received. Sizes are measured in JSON, which is longer than the form that
/// is sent.
#[test]
fn traffic_is_bounded_at_420_nodes() {
    let seconds = 15;
    let mut rates = Vec::new();
    for count in [42, 420] {
        let mut world = World::new(0x420, count, Conditions::good(count));
        world.measured = true;
        world.at(5000, Change::Kill(3));
        let end = seconds * u64::try_from(PROBE_PERIOD.as_millis()).unwrap();
        world.run(end, |_, _| {});
        assert!(world.largest <= MESSAGE_BYTES, "{} bytes", world.largest);
        let rate = *world.bytes.iter().max().unwrap() / usize::try_from(seconds).unwrap();
        let dead = host(3);
        let found = world.nodes.iter().filter(|node| node.health(&dead) == Some(Health::Dead));
        println!(
            "{count} nodes: largest message {} bytes, most {rate} bytes/s, {} found the dead one",
            world.largest,
            found.count()
        );
        rates.push(rate);
    }
    assert!(rates.iter().all(|rate| *rate <= 5000), "{rates:?} bytes/s");
}

/// Guards against a leaving member that others still choose.
#[test]
fn leaving_members_are_not_chosen() {
    let mut world = World::new(0x1ea, NODES, Conditions::good(NODES));
    world.run(4000, |_, _| {});
    world.nodes[2].set_leaving();
    world.run(4000 + bound_ms(), |_, _| {});
    for node in world.nodes.iter().filter(|node| !node.own_entry().status.leaving) {
        assert!(node.is_leaving(&host(2)));
        let chosen = (0..20).filter_map(|random| node.choose(random));
        assert!(chosen.into_iter().all(|peer| peer.host != host(2)));
    }
}
