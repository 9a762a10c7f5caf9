use std::io::{self, Write};

use serde::Deserialize;

use super::{LeftOut, print_more};

/// Where a call would be sent.
#[derive(Debug, Deserialize)]
pub(super) struct CallExplanation {
    gateway: String,
    configuration: u64,
    proof_age_ms: Option<u64>,
    accepts_calls: bool,
    paths_lost: bool,
    route: Route,
    services: Vec<Service>,
}

#[derive(Debug, Deserialize)]
struct Route {
    name: String,
    prefix: String,
    kind: String,
    timeout_ms: u64,
    objective_ms: u64,
    attempts: u32,
}

#[derive(Debug, Deserialize)]
struct Service {
    name: String,
    weight: u32,
    decision: Decision,
    targets: Vec<Target>,
    left_out_count: usize,
    left_out: Vec<LeftOut>,
}

#[derive(Debug, Deserialize)]
struct Decision {
    action: String,
    target: Option<String>,
    reason: Option<String>,
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Target {
    id: String,
    data_centre: String,
    local: bool,
    running: u32,
    slots: u32,
    avoided: Option<Avoidance>,
    cold_ms: Option<u64>,
    recent_starts: u64,
    limit: Option<Limit>,
    outlook: Outlook,
}

#[derive(Debug, Deserialize)]
struct Avoidance {
    reason: String,
    age_ms: u64,
    for_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Limit {
    age_ms: Option<i64>,
    withheld_ms: u64,
}

#[derive(Debug, Deserialize)]
struct Outlook {
    evidence: String,
    age_ms: u64,
    room_in_ms: u64,
}

impl CallExplanation {
    pub(super) fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        let Self { gateway, configuration, route, .. } = self;
        let age = self.proof_age_ms.map_or("unknown".into(), |age| format!("{age} ms"));
        writeln!(output, "gateway {gateway}: configuration {configuration}, proof age {age}")?;
        if !self.accepts_calls {
            writeln!(output, "it refuses calls now: its proof is too old, or it stops")?;
        }
        if self.paths_lost {
            writeln!(output, "its paths to the targets are lost: other hosts forward its calls")?;
        }
        writeln!(
            output,
            "route {}: {}, prefix {}, timeout {} ms, objective {} ms, {} attempts",
            route.name,
            route.kind,
            route.prefix,
            route.timeout_ms,
            route.objective_ms,
            route.attempts
        )?;
        self.services.iter().try_for_each(|service| service.print(output))
    }
}

impl Service {
    fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        let Decision { action, target, reason, retry_after_ms } = &self.decision;
        write!(output, "service {} (weight {}): {action}", self.name, self.weight)?;
        if let Some(target) = target {
            write!(output, " {target}")?;
        }
        if let (Some(reason), Some(after)) = (reason, retry_after_ms) {
            write!(output, ", {reason}, retry after {after} ms")?;
        }
        writeln!(output)?;
        for (index, target) in self.targets.iter().enumerate() {
            writeln!(output, "  {} {}", index + 1, target.describe())?;
        }
        self.left_out.iter().try_for_each(|target| target.print(output))?;
        print_more(self.left_out_count.saturating_sub(self.left_out.len()), output)
    }
}

impl Target {
    fn describe(&self) -> String {
        let mut parts = vec![format!("{} of {} slots in use", self.running, self.slots)];
        if let Some(Avoidance { reason, age_ms, for_ms }) = &self.avoided {
            parts.push(format!("avoided as {reason} since {age_ms} ms, for {for_ms} ms more"));
        }
        if let Some(cold_ms) = self.cold_ms.filter(|cold_ms| *cold_ms > 0) {
            parts.push(format!("cold for {cold_ms} ms, {} recent starts", self.recent_starts));
        }
        if let Some(Limit { age_ms, withheld_ms }) = &self.limit {
            let age = age_ms.map_or("unknown".into(), |age| format!("{age} ms"));
            parts.push(format!("limited, seen {age} ago, permits in {withheld_ms} ms"));
        }
        let Outlook { evidence, age_ms, room_in_ms } = &self.outlook;
        if evidence != "none" {
            parts.push(format!(
                "{evidence} by evidence of {age_ms} ms ago, room in {room_in_ms} ms"
            ));
        }
        let local = if self.local { ", local" } else { "" };
        format!("{} ({}{local}): {}", self.id, self.data_centre, parts.join("; "))
    }
}
