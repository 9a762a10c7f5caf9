use std::{io, time::Duration};

use serde_json::{Value, json};

use crate::{
    load::{Load, Outcome},
    setup::Setup,
};

const ROUNDS: usize = 5;
const ROUND: Duration = Duration::from_millis(600);
const P50: f64 = 0.5;
const P99: f64 = 0.99;

/// Measures the latency of calls with and without the node, in alternating rounds.
pub(crate) fn measure(seed: u64, rate: Option<u32>, calls: usize) -> io::Result<Value> {
    let setup = Setup::spawn(seed, 1, Duration::ZERO)?;
    let load = |addresses| Load { addresses, calls_at_once: calls, duration: ROUND, rate };
    let (direct, through_node) = (load(setup.direct()), load(setup.through_node()));
    // These rounds are not counted: they open connections and fill caches.
    direct.run();
    through_node.run();
    let (mut sums, mut added) = ([Outcome::default(), Outcome::default()], Vec::new());
    for _ in 0..ROUNDS {
        let pair = [direct.run(), through_node.run()];
        added.push(pair[1].latency_micros(P50) - pair[0].latency_micros(P50));
        sums.iter_mut().zip(&pair).for_each(|(sum, round)| sum.add(round));
    }
    added.sort_by(f64::total_cmp);
    let [direct, through_node] = sums;
    let difference =
        |quantile| through_node.latency_micros(quantile) - direct.latency_micros(quantile);
    Ok(json!({
        "measure": "latency",
        "calls_at_once": calls,
        "rate": rate,
        "direct_p50_us": direct.latency_micros(P50),
        "direct_p99_us": direct.latency_micros(P99),
        "node_p50_us": through_node.latency_micros(P50),
        "node_p99_us": through_node.latency_micros(P99),
        "added_p50_us": difference(P50),
        "added_p99_us": difference(P99),
        "added_p50_us_least_round": added.first(),
        "added_p50_us_most_round": added.last(),
        "direct_calls": direct.latencies.len(),
        "node_calls": through_node.latencies.len(),
        "failed": direct.failed + through_node.failed,
    }))
}
