//! Simulates two trainers whose steps need three times the slots that there are, with the order of
//! `tamarackdock_rollout::share` and with that of deployments without it.

use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};
use tamarackdock_rollout::share::{self, Item, Step};

use crate::batch::placement::WaitingItem;

const SEEDS: u64 = 20;
const RUN_MS: f64 = 45_000.0;
const TICK_MS: f64 = 10.0;
/// Items of a step of each trainer.
const ITEMS: [usize; 2] = [400, 40];
const GROUP_SIZE: usize = 8;
/// Mean time of an item: 14 events of 38 ms.
const MEAN_MS: f64 = 532.0;
const SPREAD: f64 = 0.6;
/// A third of the slots in which the steps of both trainers would meet their due times.
const SLOTS: usize = 10;
const DUE_MS: f64 = 7_500.0;
/// Time after which a trainer abandons a step.
const ABANDONED_MS: f64 = 12_000.0;
const REQUEST_MS: f64 = 4_000.0;
const TRAINING_MS: f64 = 500.0;

#[derive(Clone, Copy, PartialEq)]
enum Order {
    Share,
    /// Earlier steps first, of whichever trainer.
    Baseline,
}

#[derive(Clone, Copy)]
struct ModelItem {
    total_ms: f64,
    left_ms: f64,
    is_running: bool,
}

impl ModelItem {
    fn is_complete(&self) -> bool {
        self.left_ms <= 0.0
    }

    fn waits(&self) -> bool {
        !self.is_running && !self.is_complete()
    }
}

/// The open step of a trainer.
struct ModelStep {
    number: u64,
    requested_ms: f64,
    items: Vec<ModelItem>,
}

impl ModelStep {
    fn new(rng: &mut ChaCha8Rng, number: u64, items: usize, requested_ms: f64) -> Self {
        let mut item = || {
            let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            let total_ms = MEAN_MS * (SPREAD * normal - SPREAD * SPREAD / 2.0).exp();
            ModelItem { total_ms, left_ms: total_ms, is_running: false }
        };
        Self { number, requested_ms, items: (0..items).map(|_| item()).collect() }
    }

    fn is_complete(&self) -> bool {
        let groups = self.items.chunks(GROUP_SIZE);
        let complete =
            groups.clone().filter(|group| group.iter().all(ModelItem::is_complete)).count();
        complete * 10 >= groups.len() * 9
    }

    /// Returns the step as it is shared.
    #[allow(clippy::cast_precision_loss)]
    fn shared(&self, trainer: usize, now_ms: f64) -> Step {
        let needed = 0.9 * self.items.iter().map(|item| item.total_ms).sum::<f64>();
        let received = |item: &ModelItem| if item.waits() { 0.0 } else { item.total_ms };
        let received = self.items.iter().map(received).sum();
        let running = self.items.iter().filter(|item| item.is_running).count();
        let longest_ms = self.items.iter().map(|item| item.left_ms).fold(0.0, f64::max);
        let due_ms = (self.requested_ms + DUE_MS - now_ms).max(0.0);
        Step {
            trainer,
            rank: 1,
            needed,
            received,
            running: u32::try_from(running).unwrap(),
            is_late: share::is_late(needed - received, SLOTS as f64, longest_ms, due_ms),
        }
    }
}

/// Outcome of the steps of a trainer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Outcome {
    steps: u32,
    in_time: u32,
    waited_ms: f64,
    /// Time that targets spent on its items.
    served_ms: f64,
}

impl Outcome {
    fn mean_wait_ms(&self) -> f64 {
        self.waited_ms / f64::from(self.steps)
    }
}

/// Returns the indexes of the waiting items by open step, in the order in which they start.
fn waiting(
    order: Order,
    open: &[&ModelStep],
    trainers: &[usize],
    now_ms: f64,
) -> Vec<(usize, usize)> {
    let mut waiting: Vec<WaitingItem> = Vec::new();
    for (job, step) in open.iter().enumerate() {
        let items = step.items.iter().enumerate().filter(|(_, item)| item.waits());
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        waiting.extend(items.map(|(index, item)| WaitingItem {
            job,
            item: index,
            carried: false,
            remaining_tokens: item.total_ms as u64,
            made_by: None,
            refusals: 0,
            is_unfit: false,
            is_bulk: false,
        }));
    }
    if order == Order::Baseline {
        waiting.sort_by_key(WaitingItem::order);
        return waiting.iter().map(|item| (item.job, item.item)).collect();
    }
    let steps: Vec<Step> =
        open.iter().zip(trainers).map(|(step, trainer)| step.shared(*trainer, now_ms)).collect();
    let work = |item: &WaitingItem| open[item.job].items[item.item].total_ms;
    let items: Vec<Item> = waiting
        .iter()
        .map(|item| Item { step: item.job, carried: false, work: work(item) })
        .collect();
    let ordered = share::order(&steps, &items);
    ordered.into_iter().map(|index| (waiting[index].job, waiting[index].item)).collect()
}

fn run(order: Order, seed: u64) -> [Outcome; 2] {
    let mut rngs = [0, 1].map(|stream| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(stream);
        rng
    });
    let mut outcomes = [Outcome::default(); 2];
    let mut steps: [Option<ModelStep>; 2] = [None, None];
    let mut next_ms = [0.0, 300.0];
    let mut numbers = [0; 2];
    let mut now_ms = 0.0;
    while now_ms < RUN_MS {
        for trainer in 0..2 {
            if steps[trainer].is_none() && now_ms >= next_ms[trainer] {
                numbers[trainer] += 1;
                let items = ITEMS[trainer];
                steps[trainer] =
                    Some(ModelStep::new(&mut rngs[trainer], numbers[trainer], items, now_ms));
            }
        }
        start(order, &mut steps, now_ms);
        now_ms += TICK_MS;
        for trainer in 0..2 {
            let Some(step) = &mut steps[trainer] else { continue };
            for item in step.items.iter_mut().filter(|item| item.is_running) {
                item.left_ms -= TICK_MS;
                item.is_running = item.left_ms > 0.0;
                outcomes[trainer].served_ms += TICK_MS;
            }
            let waited_ms = now_ms - step.requested_ms;
            if !step.is_complete() && waited_ms < ABANDONED_MS {
                continue;
            }
            next_ms[trainer] = (step.requested_ms + REQUEST_MS).max(now_ms + TRAINING_MS);
            outcomes[trainer].steps += 1;
            outcomes[trainer].in_time += u32::from(step.is_complete() && waited_ms <= DUE_MS);
            outcomes[trainer].waited_ms += waited_ms;
            steps[trainer] = None;
        }
    }
    outcomes
}

/// Starts items in the free slots.
fn start(order: Order, steps: &mut [Option<ModelStep>; 2], now_ms: f64) {
    let running = steps.iter().flatten().flat_map(|step| &step.items);
    let running = running.filter(|item| item.is_running).count();
    if running == SLOTS {
        return;
    }
    let mut trainers: Vec<usize> = (0..2).filter(|trainer| steps[*trainer].is_some()).collect();
    trainers.sort_by_key(|trainer| steps[*trainer].as_ref().map(|step| step.number));
    let open: Vec<&ModelStep> =
        trainers.iter().filter_map(|trainer| steps[*trainer].as_ref()).collect();
    let started = waiting(order, &open, &trainers, now_ms);
    for (job, item) in started.into_iter().take(SLOTS - running) {
        if let Some(step) = &mut steps[trainers[job]] {
            step.items[item].is_running = true;
        }
    }
}

fn summarize(order: Order) -> [Outcome; 2] {
    let mut sums = [Outcome::default(); 2];
    for outcomes in (0..SEEDS).map(|seed| run(order, seed)) {
        for (sum, outcome) in sums.iter_mut().zip(outcomes) {
            sum.steps += outcome.steps;
            sum.in_time += outcome.in_time;
            sum.waited_ms += outcome.waited_ms;
            sum.served_ms += outcome.served_ms;
        }
    }
    println!(
        "seeds 0 to {}: {sums:.0?}, waits {:.0?}",
        SEEDS - 1,
        sums.map(|sum| sum.mean_wait_ms())
    );
    sums
}

/// Guards against a trainer that gets its steps late because of another one that would be late
/// without it, and against a large step that makes no progress.
#[test]
fn more_steps_are_in_time_when_targets_are_shared() {
    let (baseline, share) = (summarize(Order::Baseline), summarize(Order::Share));
    let in_time = |sums: &[Outcome; 2]| sums.iter().map(|sum| sum.in_time).sum::<u32>();
    assert!(in_time(&share) > in_time(&baseline), "{share:?} against {baseline:?}");
    let worst = |sums: &[Outcome; 2]| sums.iter().map(Outcome::mean_wait_ms).fold(0.0, f64::max);
    assert!(worst(&share) <= worst(&baseline), "{share:?} against {baseline:?}");
    // The large step is late in any case, and keeps a fifth of the targets at least.
    let served: f64 = share.iter().map(|sum| sum.served_ms).sum();
    assert!(share[0].served_ms >= 0.2 * served, "{share:?}");
}
