use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::fleet::Fleet;

/// Time for nodes to reach a steady state.
const SETTLE: Duration = Duration::from_secs(2);
const MEASURED: Duration = Duration::from_secs(10);

/// Counts at one time.
struct Reading {
    at: Instant,
    cpu: Duration,
    bytes: u64,
    reads: u64,
    writes: u64,
}

impl Reading {
    fn take(fleet: &Fleet) -> Self {
        let (reads, writes) = fleet.world.platform.state().rates.total();
        let (cpu, bytes) = (fleet.cpu_time(), fleet.bytes());
        Self { at: Instant::now(), cpu, bytes, reads, writes }
    }
}

/// Measures one size.
pub(crate) fn measure(seed: u64, nodes: usize, targets: usize) -> io::Result<Value> {
    let fleet = Fleet::spawn(seed, nodes, targets)?;
    thread::sleep(SETTLE);
    let before = Reading::take(&fleet);
    thread::sleep(MEASURED);
    let after = Reading::take(&fleet);
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_node = |amount: f64| amount / seconds / float(nodes as u64);
    let cpu = after.cpu.saturating_sub(before.cpu).as_secs_f64();
    Ok(json!({
        "nodes": nodes,
        "targets": targets,
        "cpu_share_per_node": per_node(cpu),
        "resident_bytes_per_node": fleet.resident_bytes() / nodes as u64,
        "platform_reads_per_second": float(after.reads - before.reads) / seconds,
        "platform_writes_per_second": float(after.writes - before.writes) / seconds,
        "bytes_per_second_per_node": per_node(float(after.bytes - before.bytes)),
    }))
}

fn float(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
