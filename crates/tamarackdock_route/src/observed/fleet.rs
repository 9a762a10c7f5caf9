use std::{collections::BTreeMap, rc::Rc, time::Duration};

use derive_more::Display;
use tamarackdock_types::clock::Instant;

use super::report::{MAX_TARGETS, Observed, Report, Speed};

/// Age from which a report is ignored.
const MAX_AGE: Duration = Duration::from_secs(10);
/// Time after which the weight of a report is halved, and halved again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Most requests in progress that a report counts with: more than a target queues.
const MAX_RUNNING: u32 = 1_000;

/// Why a report was not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Rejection {
    /// A later one of the same process is known.
    #[display("late")]
    Late,
    /// It comes from a process that is not among the live ones.
    #[display("not_live")]
    NotLive,
}

#[derive(Debug, Clone)]
struct HostReport {
    run: u64,
    sequence: u64,
    received: Instant,
    targets: BTreeMap<Rc<str>, Observed>,
}

/// What all hosts together have observed of one run of a target.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Merged {
    /// Requests of the other hosts in progress.
    pub others: u32,
    /// Mean milliseconds between two events of a run, if any were seen.
    pub event_interval_ms: Option<f64>,
    /// Number of samples from which that was measured.
    pub samples: u32,
    /// Number of hosts whose reports count.
    pub reports: u32,
    /// Age of the newest of them.
    pub age: Option<Duration>,
}

/// The last reports of the other hosts.
#[derive(Debug, Clone, Default)]
pub struct Fleet(BTreeMap<Rc<str>, HostReport>);

impl Fleet {
    /// Records a report. `is_live` says whether a process of a host is live.
    ///
    /// # Errors
    ///
    /// Returns the [`Rejection`] of a report that is out of date.
    pub fn record(
        &mut self,
        report: Report,
        is_live: impl Fn(&Rc<str>, u64) -> bool,
        now: Instant,
    ) -> Result<(), Rejection> {
        if !is_live(&report.host, report.run) {
            return Err(Rejection::NotLive);
        }
        let known = self.0.get(&report.host).filter(|known| known.run == report.run);
        if known.is_some_and(|known| known.sequence >= report.sequence) {
            return Err(Rejection::Late);
        }
        let targets = report.targets.into_iter().take(MAX_TARGETS);
        let targets = targets.map(|observed| (observed.target.clone(), observed)).collect();
        let Report { run, sequence, .. } = report;
        self.0.insert(report.host, HostReport { run, sequence, received: now, targets });
        Ok(())
    }

    /// Removes the reports of processes that are gone, whose requests have ended, and old ones.
    pub fn retain(&mut self, is_live: impl Fn(&Rc<str>, u64) -> bool, now: Instant) {
        self.0.retain(|host, report| {
            is_live(host, report.run) && now.since(report.received) < MAX_AGE
        });
    }

    /// Returns the number of hosts that have reported.
    #[must_use]
    pub fn hosts(&self) -> usize {
        self.0.len()
    }

    /// Returns what is known of a run of a target. `own` is the speed that this host measured.
    ///
    /// Each report counts half as much for each 2 s of its age. If no other host has reported the
    /// target, the result is that of this host alone.
    #[must_use]
    pub fn merged(
        &self,
        target: &str,
        started: Option<u64>,
        own: Option<Speed>,
        now: Instant,
    ) -> Merged {
        let mut merged = Merged { samples: own.map_or(0, |own| own.samples), ..Merged::default() };
        let mut speeds: Vec<(f64, f64)> = Vec::new();
        for report in self.0.values() {
            let Some(observed) = report.targets.get(target) else { continue };
            if observed.started != started {
                continue;
            }
            // Requests in progress are as old as the report, a speed as old as its last sample.
            let age = now.since(report.received);
            let speed_age = age + Duration::from_millis(observed.age_ms.into());
            let Some(weight) = weight(age) else { continue };
            merged.reports += 1;
            merged.age = Some(merged.age.map_or(age, |newest| newest.min(age)));
            merged.others += decayed(observed.running.min(MAX_RUNNING), weight);
            if let (Some((interval, samples)), Some(weight)) =
                (observed.interval(), self::weight(speed_age))
            {
                merged.samples = merged.samples.saturating_add(samples);
                speeds.push((interval, f64::from(samples) * weight));
            }
        }
        if speeds.is_empty() {
            merged.event_interval_ms = own.map(|own| own.event_interval_ms);
            return merged;
        }
        // What this host measured itself counts at any age, as it would without reports.
        speeds.extend(own.map(|own| {
            let weight = self::weight(own.age).unwrap_or(f64::EPSILON);
            (own.event_interval_ms, f64::from(own.samples) * weight)
        }));
        merged.event_interval_ms = mean(&speeds);
        merged
    }
}

/// Returns the weight of what is so old, or `None` if it is ignored.
#[allow(clippy::cast_possible_truncation)]
fn weight(age: Duration) -> Option<f64> {
    let halvings = (age.as_millis() / HALF_LIFE.as_millis()) as i32;
    (age < MAX_AGE).then(|| 0.5_f64.powi(halvings))
}

/// Returns the requests that are still counted, at least one of any.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn decayed(running: u32, weight: f64) -> u32 {
    (f64::from(running) * weight).ceil() as u32
}

fn mean(weighted: &[(f64, f64)]) -> Option<f64> {
    let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let sum: f64 = weighted.iter().map(|(value, weight)| value * weight).sum();
    (total > 0.0).then(|| sum / total)
}
