//! Acceptance, propagation and the cut-off rule in seeded schedules of faults. Each
//! property runs 1,000 schedules. A schedule that fails is printed with its seed.

mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use tamarackdock_config::{accept::Rejection, reachability::KeyStatus};
use world::{
    BOUND_MS, Step, World,
    network::{Conditions, StoreAccess},
    node::NODES,
};

const SCHEDULES: u32 = 1000;
const SETTLE_MS: u64 = 5000;

fn config(seed: u64) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(seed);
    ProptestConfig {
        cases: SCHEDULES,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn store_access() -> impl Strategy<Value = StoreAccess> {
    prop_oneof![Just(StoreAccess::Up), Just(StoreAccess::Down), Just(StoreAccess::ResponseLost)]
}

/// Returns a strategy in which the store is up, down or loses responses, for all nodes alike or
/// for each node separately.
fn stores() -> impl Strategy<Value = [StoreAccess; NODES]> {
    prop_oneof![store_access().prop_map(|all| [all; NODES]), prop::array::uniform6(store_access())]
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let links = prop::array::uniform3(prop::bool::weighted(0.6));
    (
        links,
        stores(),
        prop_oneof![Just(0), 0..40_u64],
        10..600_u64,
        prop_oneof![10..200_u64, 200..800_u64],
    )
        .prop_map(|(links, stores, loss_percent, delay_ms, store_delay_ms)| Conditions {
            links,
            stores,
            loss_percent,
            delay_ms,
            store_delay_ms,
        })
}

#[derive(Debug, Clone)]
struct Schedule {
    seed: u64,
    phases: Vec<(u64, Conditions)>,
    /// Time, two nodes that submit at the same time, and whether the first operation is submitted
    /// again by the second node.
    submissions: Vec<(u64, usize, usize, bool)>,
    restarts: Vec<(u64, usize)>,
    /// Access to the store after the faults.
    final_store_access: [StoreAccess; NODES],
    /// Node that reaches the store after the faults in any case.
    connected_node: usize,
}

fn schedule() -> impl Strategy<Value = Schedule> {
    let phases = prop::collection::vec((1000..6000_u64, conditions()), 1..4);
    let submissions =
        prop::collection::vec((0..16_000_u64, 0..NODES, 0..NODES, any::<bool>()), 1..6);
    let restarts = prop::collection::vec((0..16_000_u64, 0..NODES), 0..3);
    (any::<u64>(), phases, submissions, restarts, stores(), 0..NODES).prop_map(
        |(seed, phases, submissions, restarts, final_store_access, connected_node)| Schedule {
            seed,
            phases,
            submissions,
            restarts,
            final_store_access,
            connected_node,
        },
    )
}

impl Schedule {
    /// Returns the world and the time from which all nodes are connected.
    fn world(&self) -> (World, u64) {
        let mut world = World::new(self.seed, Conditions::good([StoreAccess::Up; NODES]));
        // The first version is active on all nodes before the faults start.
        world.at(10, Step::Submit { node: 0, operation: 0 });
        let mut healed = 4000;
        for (span, conditions) in &self.phases {
            world.change_at(healed, conditions.clone());
            healed += span;
        }
        for (index, (at, one, two, again)) in (1..).zip(&self.submissions) {
            let at = 4000 + at % (healed - 4000 + 1000);
            world.at(at, Step::Submit { node: *one, operation: 2 * index });
            world.at(at, Step::Submit { node: *two, operation: 2 * index + 1 });
            if *again {
                world.at(at + 700, Step::Submit { node: *two, operation: 2 * index });
            }
        }
        for (at, node) in &self.restarts {
            world.at(4000 + at % (healed - 4000), Step::Restart(*node));
        }
        let mut final_store_access = self.final_store_access;
        final_store_access[self.connected_node] = StoreAccess::Up;
        world.change_at(healed, Conditions::good(final_store_access));
        (world, healed)
    }
}

fn check_keys(world: &World, node: usize) {
    let state = &world.nodes[node];
    if !state.reachability.key_status(world.instant()).serves_keys() {
        return;
    }
    let number = state.propagation.active().number();
    let Some(withdrawn) = world.replaced_at(number) else { return };
    let late = world.now.saturating_sub(withdrawn);
    assert!(
        late <= BOUND_MS,
        "node {node} serves keys of version {number} {late} ms after withdrawal"
    );
}

fn check_active(world: &World, node: usize, healed: u64) {
    let active = world.nodes[node].propagation.active();
    let in_time = |at: u64| world.now > healed.max(at) + BOUND_MS;
    let due = world.store.history.iter().filter(|commit| in_time(commit.at)).count();
    assert!(active.number().0 >= u64::try_from(due).unwrap(), "node {node} lacks version {due}");
    if let Some(index) = active.number().0.checked_sub(1) {
        let commit = &world.store.history[usize::try_from(index).unwrap()];
        assert_eq!(commit.checksum, active.checksum(), "node {node} has different content");
    }
}

fn check_results(world: &World) {
    for (number, commit) in (1..).zip(&world.store.history) {
        assert_eq!(commit.number.0, number, "a version is written twice or left out");
    }
    let committed = |operation: u64| {
        let name = format!("op{operation}");
        world.store.history.iter().filter(|commit| commit.operation == name).count()
    };
    for (operation, results) in &world.results {
        for result in results {
            let expected = match result {
                Ok(_) => 1..=1,
                Err(Rejection::Unresolved { .. }) => 0..=1,
                Err(_) => 0..=0,
            };
            assert!(expected.contains(&committed(*operation)), "operation {operation}: {result:?}");
        }
    }
}

proptest! {
    #![proptest_config(config(0xacce))]

    /// Guards against two submissions that are accepted as the same version, against an
    /// accepted version that is lost or replaced by an older one, against a repeated submission
    /// that gets another result, and against nodes that lack a version for longer than 3 s while
    /// one node reaches the store.
    #[test]
    fn one_winner_active_everywhere(schedule in schedule()) {
        let (mut world, healed) = schedule.world();
        world.run(healed + SETTLE_MS, |world, node| check_active(world, node, healed));
        check_results(&world);
    }
}

proptest! {
    #![proptest_config(config(0xc07f))]

    /// Guards against a node that serves a withdrawn key for longer than 3 s, whichever links
    /// are cut and whichever messages are slow or lost.
    #[test]
    fn withdrawn_keys_are_refused(schedule in schedule()) {
        let (mut world, healed) = schedule.world();
        world.run(healed + SETTLE_MS, check_keys);
    }
}

proptest! {
    #![proptest_config(config(0xd0))]

    /// Guards against nodes that refuse calls with keys because the store is down
    /// for all nodes.
    #[test]
    fn keys_work_while_the_store_is_down(seed in any::<u64>(), at in 4000..6000_u64) {
        let mut world = World::new(seed, Conditions::good([StoreAccess::Up; NODES]));
        world.at(10, Step::Submit { node: 0, operation: 0 });
        world.change_at(at, Conditions::good([StoreAccess::Down; NODES]));
        world.run(at + 8000, |world, node| {
            let key_status = world.nodes[node].reachability.key_status(world.instant());
            assert!(world.now < 4000 || key_status != KeyStatus::CutOff, "node {node} at {} ms", world.now);
        });
        let down = world.nodes.iter().all(|node| node.reachability.key_status(world.instant()) == KeyStatus::StoreDown);
        prop_assert!(down, "all nodes know that the store is down");
    }
}
