use std::{
    collections::BTreeMap,
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Time before the measurement in which nodes reach a steady state.
const WARM_UP: Duration = Duration::from_secs(2);
const MEASURING_TIME: Duration = Duration::from_secs(10);

/// Values of the counters at one moment.
struct Counters {
    at: Instant,
    cpu: Duration,
    platform_bytes: u64,
    /// Reads and writes of each area of the platform.
    areas: BTreeMap<String, (u64, u64)>,
}

impl Counters {
    fn read(fleet: &Fleet) -> Self {
        Self {
            at: Instant::now(),
            cpu: fleet.cpu_time(),
            platform_bytes: fleet.platform_bytes(),
            areas: fleet.world.platform.state().rates.areas().clone(),
        }
    }
}

/// Measures one size with about `calls` calls per second at each node.
pub(crate) fn measure(seed: u64, nodes: usize, targets: usize, calls: u64) -> io::Result<Value> {
    let fleet = Fleet::spawn(seed, nodes, targets)?;
    let app = if calls > 0 { Some(fleet.spawn_app(calls)?) } else { None };
    thread::sleep(WARM_UP);
    let before = Counters::read(&fleet);
    thread::sleep(MEASURING_TIME);
    let after = Counters::read(&fleet);
    drop(app);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_node = |amount: f64| amount / seconds / float(nodes as u64);
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    let platform_bytes = float(after.platform_bytes - before.platform_bytes);
    let per_second = |(area, (reads, writes)): (&String, &(u64, u64))| {
        let (first_reads, first_writes) = before.areas.get(area).copied().unwrap_or_default();
        let rate = |amount: u64| float(amount) / seconds;
        let rates =
            json!({"reads": rate(reads - first_reads), "writes": rate(writes - first_writes)});
        (area.clone(), rates)
    };
    Ok(json!({
        "nodes": nodes,
        "targets": targets,
        "calls_per_second_per_node": calls,
        "cpu_share_per_node": per_node(cpu),
        "resident_bytes_per_node": fleet.resident_bytes() / nodes as u64,
        "platform_requests_per_second": after.areas.iter().map(per_second).collect::<Value>(),
        "platform_bytes_per_second_per_node": per_node(platform_bytes),
    }))
}

fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
