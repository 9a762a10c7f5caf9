//! Plays a step of a trainer on a model of targets and looks at when its groups
//! are whole.

use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

use crate::batch::place::{Engine, Waiting, place};

const SEEDS: u64 = 40;
const GROUPS: usize = 28;
const GROUP_SIZE: usize = 4;
const TARGETS: usize = 5;
const SLOTS: u32 = 16;
/// Events of an item: lognormal with a mean of 22, of which 8% are five times as long.
const MEAN_EVENTS: f64 = 21.7;
const SPREAD: f64 = 0.84;
const MAX_EVENTS: f64 = 156.0;
/// Milliseconds for an event of the targets; one of them is slower by design.
const PACES: [f64; TARGETS] = [31.0, 31.0, 31.0, 31.0, 40.0];
const TICK: f64 = 5.0;
/// Time at which the results of a step are due.
const DUE_MS: f64 = 7_500.0;

fn engine(id: usize) -> Engine {
    Engine {
        id: format!("t{id}").as_str().into(),
        running: 0,
        slots: SLOTS,
        pace: Some(PACES[id]),
        bears: u32::MAX,
        avoided: false,
        near: true,
        fits: vec![0],
    }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

/// Returns the events of each item and the trainer's estimate of them.
fn items(seed: u64) -> Vec<(f64, u64)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..GROUPS * GROUP_SIZE)
        .map(|_| {
            let tail = if rng.random::<f64>() < 0.08 { 5.0 } else { 1.0 };
            let mean = MEAN_EVENTS / 1.32;
            let body = mean * (SPREAD * normal(&mut rng) - SPREAD * SPREAD / 2.0).exp();
            let events = (body * tail).clamp(1.0, MAX_EVENTS);
            let hint = events * (0.5 * normal(&mut rng)).exp() * 54.0;
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            (events, hint as u64)
        })
        .collect()
}

type Policy = fn(Vec<Waiting>, &mut [Engine]) -> Vec<(Waiting, usize)>;

/// The plain baseline: items in order, on the target with the fewest runs.
fn in_order(waiting: Vec<Waiting>, engines: &mut [Engine]) -> Vec<(Waiting, usize)> {
    let mut placed = Vec::new();
    for item in waiting {
        let free = (0..engines.len()).filter(|index| engines[*index].running < SLOTS);
        if let Some(index) = free.min_by_key(|index| engines[*index].running) {
            engines[index].running += 1;
            placed.push((item, index));
        }
    }
    placed
}

/// Returns the milliseconds until nine tenths of the groups are whole.
fn play(seed: u64, policy: Policy) -> f64 {
    let items = items(seed);
    let mut left: Vec<f64> = items.iter().map(|(events, _)| *events).collect();
    let mut on: Vec<Option<usize>> = vec![None; items.len()];
    let mut started = vec![false; items.len()];
    let mut now = 0.0;
    loop {
        let mut engines: Vec<Engine> = (0..TARGETS).map(engine).collect();
        for (index, target) in on.iter().enumerate() {
            if let Some(target) = target.filter(|_| left[index] > 0.0) {
                engines[target].running += 1;
            }
        }
        let waiting = (0..items.len()).filter(|index| !started[*index]).map(|index| Waiting {
            job: 0,
            item: index,
            carried: false,
            left: items[index].1,
        });
        for (item, target) in policy(waiting.collect(), &mut engines) {
            started[item.item] = true;
            on[item.item] = Some(target);
        }
        for (index, target) in on.iter().enumerate() {
            if let Some(target) = *target {
                let slowdown = 1.0 + 0.028 * f64::from(engines[target].running);
                left[index] -= TICK / (PACES[target] * slowdown);
            }
        }
        now += TICK;
        let whole = left.chunks(GROUP_SIZE).filter(|group| group.iter().all(|left| *left <= 0.0));
        if whole.count() * 10 >= GROUPS * 9 {
            return now;
        }
    }
}

fn mean(policy: Policy) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let mean = (0..SEEDS).map(|seed| play(seed, policy)).sum::<f64>() / SEEDS as f64;
    mean
}

/// Guards against a placement by which a trainer waits longer than with the
/// plain baseline, or longer than its results are due.
#[test]
fn steps_end_sooner_than_with_the_baseline() {
    let (policy, baseline) = (mean(place), mean(in_order));
    println!("mean time to nine tenths of the groups: {policy:.0} ms, baseline {baseline:.0} ms");
    assert!(policy < baseline, "{policy:.0} ms against {baseline:.0} ms");
    let late = (0..SEEDS).filter(|seed| play(*seed, place) > DUE_MS).count();
    assert_eq!(late, 0, "steps that end after {DUE_MS} ms");
}

fn waiting(item: usize, job: usize, carried: bool, left: u64) -> Waiting {
    Waiting { job, item, carried, left }
}

fn order(items: Vec<Waiting>) -> Vec<usize> {
    let mut engines = vec![engine(0)];
    engines[0].fits = vec![0, 1];
    place(items, &mut engines).into_iter().map(|(item, _)| item.item).collect()
}

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

/// Guards against items on targets that are full, cold, avoided or hold other weights.
#[test]
fn targets_without_room_get_nothing() {
    let unusable = [
        Engine { running: SLOTS, ..engine(0) },
        Engine { bears: 0, ..engine(1) },
        Engine { avoided: true, ..engine(2) },
        Engine { fits: vec![1], ..engine(3) },
    ];
    assert!(place(vec![waiting(0, 0, false, 1)], &mut unusable.clone()).is_empty());
}

/// Guards against more items on a cold target than it bears.
#[test]
fn a_cold_target_gets_as_many_as_it_bears() {
    let items = (0..9).map(|item| waiting(item, 0, false, 1)).collect();
    let mut engines = [Engine { bears: 2, ..engine(0) }];
    assert_eq!(place(items, &mut engines).len(), 2);
}
