use std::{
    io,
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use standin::resource::{Threads, cpu_time};

use crate::{load::Load, setup::Setup};

const CALLS_AT_ONCE: usize = 64;
const ROUNDS: usize = 3;
const ROUND: Duration = Duration::from_secs(2);

/// Measures how many short calls a saturated node handles, per second and per second
/// of its CPU time.
pub(crate) fn measure(seed: u64) -> io::Result<Value> {
    let setup = Setup::spawn(seed, 1, Duration::ZERO)?;
    let load = Load {
        addresses: setup.through_node(),
        calls_at_once: CALLS_AT_ONCE,
        duration: ROUND,
        rate: None,
    };
    load.run();
    let used = || cpu_time(setup.node.id(), Threads::All).unwrap_or_default();
    let (mut per_cpu_second, mut per_second, mut failed) = (Vec::new(), Vec::new(), 0);
    for _ in 0..ROUNDS {
        let (before, begin) = (used(), Instant::now());
        let outcome = load.run();
        let (cpu, elapsed) = (used().saturating_sub(before), begin.elapsed());
        let calls = outcome.latencies.len();
        per_cpu_second.push(rate(calls, cpu));
        per_second.push(rate(calls, elapsed));
        failed += outcome.failed;
    }
    Ok(json!({
        "measure": "throughput",
        "calls_at_once": CALLS_AT_ONCE,
        "calls_per_cpu_second": per_cpu_second,
        "calls_per_second": per_second,
        "failed": failed,
    }))
}

fn rate(calls: u64, time: Duration) -> f64 {
    f64::from(u32::try_from(calls).unwrap_or(u32::MAX)) / time.as_secs_f64()
}
