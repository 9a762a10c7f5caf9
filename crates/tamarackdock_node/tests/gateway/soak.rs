//! Random faults from outside, in series and overlapping, while clients check
//! the promises. `docs/operators/soak.md` says how to run many seeds.

use std::{
    env,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use platform_standin::{Engine, Way};
use rand::Rng as _;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng as _};

use crate::world::{Called, Faults, KEY, OLD_KEY, Stop, Trainer, WITHDRAWN_KEY, World, call_until};

/// Nodes of a run unless `SOAK_NODES` says otherwise.
const NODES: usize = 4;
const ITEMS: usize = 12;
/// Time for which faults come in a run of CI.
const SECONDS: u64 = 6;
/// Seeds of CI. A seed that ever failed stays, with a line on its cause.
///
/// 124: beside other runs, another program took the port of a stopped node and
/// answered in its place. Nodes have loopback addresses of their own since.
const SEEDS: [u64; 3] = [1, 2, 124];
/// Longest time by which the store's answers come late: some of them come after
/// the node has given the call up.
const MAX_DELAY_MS: u64 = 1500;
/// Largest number of writes on batch jobs that are cut in a row.
const MAX_CUTS: u64 = 4;
/// Longest time for a planned stop.
const STOP_TIME: Duration = Duration::from_secs(8);

fn number(variable: &str) -> Option<u64> {
    env::var(variable).ok().and_then(|text| text.parse().ok())
}

/// Runs the seeds of `SOAK_SEEDS`, as `FROM..TO`, or those of CI.
#[test]
fn promises_hold_under_random_faults() {
    let seeds = env::var("SOAK_SEEDS").ok().and_then(|range| {
        let (from, to) = range.split_once("..")?;
        Some((from.parse().ok()?..to.parse().ok()?).collect::<Vec<u64>>())
    });
    let seconds = Duration::from_secs(number("SOAK_SECONDS").unwrap_or(SECONDS));
    let nodes = number("SOAK_NODES").and_then(|nodes| nodes.try_into().ok()).unwrap_or(NODES);
    let mut failed = Vec::new();
    for seed in seeds.unwrap_or_else(|| SEEDS.to_vec()) {
        let faults = soak(seed, nodes, seconds);
        println!("seed {seed}: {} broken promises", faults.len());
        if !faults.is_empty() {
            failed.push((seed, faults));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

fn soak(seed: u64, nodes: usize, time: Duration) -> Vec<String> {
    let mut world = World::start(&format!("soak-{seed}"), nodes, seed);
    let (faults, stop) = (Faults::default(), Stop::default());
    let caller = |key: &'static str, path: &'static str, name: &'static str| {
        let (stop, faults, nodes) = (stop.clone(), faults.clone(), world.addresses());
        thread::spawn(move || call_until(&stop, &nodes, key, path, name, &faults))
    };
    let idempotent = caller(KEY, "/app/", "app");
    let once = caller(KEY, "/once/", "once");
    let old = caller(OLD_KEY, "/app/", "old");
    let trainer = {
        let (stop, faults) = (stop.clone(), faults.clone());
        let (nodes, store) = (world.addresses(), world.store.clone());
        thread::spawn(move || train(&stop, nodes, store, faults))
    };
    let withdrawn = inject(&mut world, seed, time, &faults);
    sleep(Duration::from_millis(500));
    stop.raise();
    let calls = (idempotent.join().unwrap(), once.join().unwrap(), old.join().unwrap());
    let (mut trainer, mut steps) = trainer.join().unwrap();
    world.engines.iter().chain(&world.services).for_each(Engine::calm);
    for step in &mut steps {
        if step.results.len() < step.items.len() {
            trainer.finish(step);
        }
        trainer.read_again(step);
    }
    world.check_runs(&faults);
    check_calls(&world, &calls.1, &calls.2, withdrawn, &faults);
    if !calls.0.iter().any(|call| call.status == 200) {
        faults.add("no call was served".into());
    }
    faults.all()
}

/// Asks for one step after the other, and returns all of them.
fn train(
    stop: &Stop,
    nodes: Vec<std::net::SocketAddr>,
    store: platform_standin::Store,
    faults: Faults,
) -> (Trainer, Vec<crate::world::Step>) {
    let mut trainer = Trainer::new("t", nodes, store, faults);
    let mut steps = Vec::new();
    while !stop.is_raised() {
        let mut job = trainer.submit(steps.len() as u64, ITEMS);
        while job.results.len() < ITEMS && !stop.is_raised() {
            trainer.read(&mut job, ITEMS, Instant::now() + Duration::from_millis(500));
        }
        if job.results.len() == ITEMS {
            trainer.end(&job);
        }
        steps.push(job);
    }
    (trainer, steps)
}

/// Injects faults, ends them all, and returns when the old key was withdrawn.
fn inject(world: &mut World, seed: u64, time: Duration, faults: &Faults) -> Instant {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let until = Instant::now() + time;
    let half = Instant::now() + time / 2;
    let mut withdrawn = None;
    let mut paused = None;
    while Instant::now() < until {
        if withdrawn.is_none() && Instant::now() > half {
            world.configure(false);
            withdrawn = Some(Instant::now());
        }
        let node = rng.random_range(0..world.nodes.len());
        match rng.random_range(0..13) {
            0 => world.nodes[node].kill(),
            1 | 2 => world.nodes[node].restart(),
            3 if paused.is_none() => {
                world.nodes[node].pause();
                paused = Some(node);
            }
            3 | 4 => {
                if let Some(node) = paused.take() {
                    world.nodes[node].resume();
                }
            }
            5 if paused != Some(node) => {
                world.nodes[node].terminate();
                match world.nodes[node].wait(STOP_TIME) {
                    Ok(true) => {}
                    outcome => faults.add(format!("stop of node {node}: {outcome:?}")),
                }
            }
            6 => world.nodes[node].reload(),
            7 => {
                let ways = [Way::Slow, Way::OneWay, Way::Silent, Way::Closed];
                world.proxies[node].set(ways[rng.random_range(0..ways.len())]);
            }
            8 => world.proxies[node].set(Way::Open),
            9 => {
                world.store.delay_answers(Duration::from_millis(rng.random_range(0..MAX_DELAY_MS)));
            }
            10 => world.store.cut_job_writes(rng.random_range(1..=MAX_CUTS)),
            11 => world.proxies.iter().for_each(|proxy| proxy.set(Way::Closed)),
            _ => {
                world.store.forget_history();
                world.store.delay_answers(Duration::ZERO);
                world.proxies.iter().for_each(|proxy| proxy.set(Way::Open));
            }
        }
        sleep(Duration::from_millis(rng.random_range(50..500)));
    }
    if let Some(node) = paused {
        world.nodes[node].resume();
    }
    world.store.delay_answers(Duration::ZERO);
    world.store.cut_job_writes(0);
    world.proxies.iter().for_each(|proxy| proxy.set(Way::Open));
    world.nodes.iter_mut().for_each(platform_standin::Node::restart);
    withdrawn.unwrap_or(until)
}

/// Checks what targets ran against what callers were told.
fn check_calls(
    world: &World,
    once: &[Called],
    old: &[Called],
    withdrawn: Instant,
    faults: &Faults,
) {
    let runs = world.runs();
    for call in once {
        match (call.status, runs.get(&call.id).copied().unwrap_or(0)) {
            (_, 2..) => faults.add(format!("call `{}` ran more than once", call.id)),
            (429 | 503, 1) => faults.add(format!("call `{}` was refused and ran", call.id)),
            (200, 0) => faults.add(format!("call `{}` was answered and did not run", call.id)),
            _ => {}
        }
    }
    for call in old.iter().filter(|call| call.at > withdrawn + WITHDRAWN_KEY) {
        if runs.contains_key(&call.id) {
            faults.add(format!("call `{}` ran with a withdrawn key", call.id));
        }
    }
}
