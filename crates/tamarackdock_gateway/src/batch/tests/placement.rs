//! Simulates a step of a trainer on a model of targets and measures when its groups are
//! complete.

use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

use crate::{
    batch::placement::{PlacementTarget, WaitingItem, assign_items},
    target::Software,
};

const SEEDS: u64 = 40;
const GROUPS: usize = 28;
const GROUP_SIZE: usize = 4;
const TARGETS: usize = 5;
const SLOTS: u32 = 16;
/// Events of an item: lognormal, with 8% of the items five times as long, and a mean of 22
/// over all items.
const MEAN_EVENTS: f64 = 21.7;
const SPREAD: f64 = 0.84;
const MAX_EVENTS: f64 = 156.0;
/// Milliseconds per event of the targets, one of which is slower by design.
const EVENT_INTERVALS_MS: [f64; TARGETS] = [31.0, 31.0, 31.0, 31.0, 40.0];
const TICK: f64 = 5.0;
/// Time after the start of a step at which its results are due.
const DEADLINE_MS: f64 = 7_500.0;

fn placement_target(id: usize) -> PlacementTarget {
    PlacementTarget {
        id: format!("t{id}").as_str().into(),
        running: 0,
        slots: SLOTS,
        software: software("v1"),
        event_interval_ms: Some(EVENT_INTERVALS_MS[id]),
        samples: 99,
        allowed_starts: u32::MAX,
        is_avoided: false,
        refuses: false,
        is_local: true,
        fitting_jobs: vec![0],
    }
}

fn software(version: &str) -> Software {
    Software { service: "llm".into(), version: version.into() }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Returns the number of events of each item, and the trainer's estimate of its tokens.
fn items(seed: u64) -> Vec<(f64, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..GROUPS * GROUP_SIZE)
        .map(|_| {
            let tail = if rng.random::<f64>() < 0.08 { 5.0 } else { 1.0 };
            let mean = MEAN_EVENTS / 1.32;
            let body = mean * (SPREAD * normal(&mut rng) - SPREAD * SPREAD / 2.0).exp();
            let events = (body * tail).clamp(1.0, MAX_EVENTS);
            let estimate = events * (0.5 * normal(&mut rng)).exp() * 54.0;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            (events, estimate as u64)
        })
        .collect()
}

type Policy = fn(Vec<WaitingItem>, &mut [PlacementTarget]) -> Vec<(WaitingItem, usize)>;

/// The policy of the gateway.
fn assign(items: Vec<WaitingItem>, targets: &mut [PlacementTarget]) -> Vec<(WaitingItem, usize)> {
    assign_items(items, targets).placed
}

/// The baseline: items in order, each on the target with the fewest runs.
fn in_order(
    waiting: Vec<WaitingItem>,
    targets: &mut [PlacementTarget],
) -> Vec<(WaitingItem, usize)> {
    let mut placed = Vec::new();
    for item in waiting {
        let free = (0..targets.len()).filter(|index| targets[*index].running < SLOTS);
        if let Some(index) = free.min_by_key(|index| targets[*index].running) {
            targets[index].running += 1;
            placed.push((item, index));
        }
    }
    placed
}

/// Returns the milliseconds until nine tenths of the groups are complete.
fn simulate_step(seed: u64, policy: Policy) -> f64 {
    let items = items(seed);
    let mut left: Vec<f64> = items.iter().map(|(events, _)| *events).collect();
    let mut assigned: Vec<Option<usize>> = vec![None; items.len()];
    let mut started = vec![false; items.len()];
    let mut now = 0.0;
    loop {
        let mut targets: Vec<PlacementTarget> = (0..TARGETS).map(placement_target).collect();
        for (index, target) in assigned.iter().enumerate() {
            if let Some(target) = target.filter(|_| left[index] > 0.0) {
                targets[target].running += 1;
            }
        }
        let waiting = (0..items.len()).filter(|index| !started[*index]).map(|index| WaitingItem {
            job: 0,
            item: index,
            carried: false,
            remaining_tokens: items[index].1,
            made_by: None,
            refusals: 0,
            is_unfit: false,
            is_bulk: false,
        });
        for (item, target) in policy(waiting.collect(), &mut targets) {
            started[item.item] = true;
            assigned[item.item] = Some(target);
        }
        for (index, target) in assigned.iter().enumerate() {
            if let Some(target) = *target {
                let slowdown = 1.0 + 0.028 * f64::from(targets[target].running);
                left[index] -= TICK / (EVENT_INTERVALS_MS[target] * slowdown);
            }
        }
        now += TICK;
        let complete =
            left.chunks(GROUP_SIZE).filter(|group| group.iter().all(|left| *left <= 0.0));
        if complete.count() * 10 >= GROUPS * 9 {
            return now;
        }
    }
}

fn mean(policy: Policy) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let mean = (0..SEEDS).map(|seed| simulate_step(seed, policy)).sum::<f64>() / SEEDS as f64;
    mean
}

/// Guards against a placement by which a trainer waits longer than with the baseline, or
/// past the time at which its results are due.
#[test]
fn steps_end_sooner_than_with_the_baseline() {
    let (policy, baseline) = (mean(assign), mean(in_order));
    println!("mean time to nine tenths of the groups: {policy:.0} ms, baseline {baseline:.0} ms");
    assert!(policy < baseline, "{policy:.0} ms against {baseline:.0} ms");
    let late = (0..SEEDS).filter(|seed| simulate_step(*seed, assign) > DEADLINE_MS).count();
    assert_eq!(late, 0, "steps that end after {DEADLINE_MS} ms");
}

fn waiting(item: usize, job: usize, carried: bool, remaining_tokens: u64) -> WaitingItem {
    WaitingItem {
        job,
        item,
        carried,
        remaining_tokens,
        made_by: None,
        refusals: 0,
        is_unfit: false,
        is_bulk: false,
    }
}

fn order(items: Vec<WaitingItem>) -> Vec<usize> {
    let mut targets = vec![placement_target(0)];
    targets[0].fitting_jobs = vec![0, 1];
    assign(items, &mut targets).into_iter().map(|(item, _)| item.item).collect()
}

/// Guards against an order of starts by which a trainer waits longer for its step.
#[test]
fn earlier_steps_carried_groups_and_long_items_go_first() {
    let items = vec![
        waiting(0, 1, true, 900),
        waiting(1, 0, false, 10),
        waiting(2, 0, false, 500),
        waiting(3, 0, true, 5),
    ];
    assert_eq!(order(items), [3, 2, 1, 0]);
}

/// Guards against an item that fits no target and keeps others from starting, in its own job and
/// in later ones, since it is the longest and is always the next to be sent to a target that
/// refused it.
#[test]
fn a_target_that_refuses_is_probed_by_the_item_with_the_fewest_refusals() {
    let refused = |item, refusals| WaitingItem { refusals, ..waiting(item, 0, true, 900) };
    let others = [waiting(2, 0, false, 10), waiting(3, 1, false, 10)];
    let items = [vec![refused(0, 9), refused(1, 2)], others.to_vec()].concat();
    let probed = |id| PlacementTarget { refuses: true, allowed_starts: 1, ..placement_target(id) };
    let both = |target| PlacementTarget { fitting_jobs: vec![0, 1], ..target };
    let mut targets = [both(probed(0)), both(probed(1))];
    let placed = assign(items.clone(), &mut targets);
    assert_eq!(placed.iter().map(|(item, _)| item.item).collect::<Vec<_>>(), [2, 3]);
    // Targets that accept requests get the items in their usual order.
    let accepting = PlacementTarget { allowed_starts: 3, ..both(placement_target(1)) };
    let mut targets = [both(probed(0)), accepting];
    let placed = assign(items, &mut targets);
    let placed: Vec<_> = placed.iter().map(|(item, target)| (item.item, *target)).collect();
    assert_eq!(placed, [(0, 1), (1, 1), (2, 1), (3, 0)]);
}

/// Guards against an item that takes the room of others although targets refuse it while they
/// accept others.
#[test]
fn items_that_fit_no_target_go_last() {
    let unfit = WaitingItem { is_unfit: true, ..waiting(0, 0, true, 900) };
    assert_eq!(order(vec![unfit, waiting(1, 0, false, 10), waiting(2, 1, false, 10)]), [1, 2, 0]);
}

/// Guards against a step that waits for another client's job of very many items.
#[test]
fn items_of_jobs_that_run_in_parts_go_after_steps() {
    let split = |item, job| WaitingItem { is_bulk: true, ..waiting(item, job, true, 900) };
    let unfit = WaitingItem { is_unfit: true, ..waiting(3, 0, true, 900) };
    let items = vec![split(0, 0), split(1, 0), unfit, waiting(2, 1, false, 10)];
    assert_eq!(order(items), [2, 0, 1, 3]);
}

/// Guards against items on targets that are full, cold, to be avoided or without the
/// weights of the job.
#[test]
fn targets_without_room_get_nothing() {
    let unusable = [
        PlacementTarget { running: SLOTS, ..placement_target(0) },
        PlacementTarget { allowed_starts: 0, ..placement_target(1) },
        PlacementTarget { is_avoided: true, ..placement_target(2) },
        PlacementTarget { fitting_jobs: vec![1], ..placement_target(3) },
    ];
    assert!(assign(vec![waiting(0, 0, false, 1)], &mut unusable.clone()).is_empty());
}

/// Guards against a text that goes on at a target of another software version.
#[test]
fn a_text_goes_on_at_the_software_that_began_it() {
    let item =
        |made_by: &str| WaitingItem { made_by: Some(software(made_by)), ..waiting(0, 0, false, 1) };
    let faster = PlacementTarget { event_interval_ms: Some(1.0), ..placement_target(0) };
    let newer = PlacementTarget { software: software("v2"), ..placement_target(1) };
    let mut targets = [faster, newer];
    assert_eq!(assign(vec![item("v2")], &mut targets), [(item("v2"), 1)]);
    let assignment = assign_items(vec![item("v3")], &mut targets);
    assert_eq!((assignment.placed, assignment.unplaced), (Vec::new(), vec![item("v3")]));
}

/// Guards against starting more items on a cold target than are allowed.
#[test]
fn a_cold_target_gets_no_more_than_allowed() {
    let items = (0..9).map(|item| waiting(item, 0, false, 1)).collect();
    let mut targets = [PlacementTarget { allowed_starts: 2, ..placement_target(0) }];
    assert_eq!(assign(items, &mut targets).len(), 2);
}
