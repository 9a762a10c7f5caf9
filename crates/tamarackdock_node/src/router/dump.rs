use serde_json::{Value, json};
use tamarackdock_types::clock::Instant;

use super::state::Router;

impl Router {
    /// Returns the state as JSON, for operators.
    pub(super) fn dump(&self, now: Instant) -> Value {
        let targets: Vec<Value> = self
            .records
            .iter()
            .filter_map(|(key, record)| {
                let target = self.table.get(*key)?;
                Some(json!({
                    "name": target.spec.name,
                    "state": format!("{:?}", target.state),
                    "in_flight": target.load.own(),
                    "estimated_load": target.load.estimate(),
                    "limit": target.limit(),
                    "credits": record.holder.in_force(now),
                    "mean_first_byte_ms": target.latency.mean().map(|mean| mean.as_secs_f64() * 1e3),
                    "failures": record.failures,
                }))
            })
            .collect();
        json!({
            "targets": targets,
            "waiting_for_admission": self.calls.values().filter(|w| w.reply.is_some()).count(),
            "waiting_for_target": self.pending.len(),
            "attempts": self.attempts.len(),
        })
    }
}
