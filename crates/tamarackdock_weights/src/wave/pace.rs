use std::{collections::VecDeque, time::Duration};

use tamarackdock_types::clock::Instant;

use super::Finished;

/// Number of targets for each load that may be in progress before any has finished.
const TARGETS_PER_FIRST_LOAD: usize = 6;
/// Number of targets for each load that may be in progress at most.
const TARGETS_PER_LOAD: usize = 5;
/// Number of loads that may always be in progress.
const MIN_LOADS: usize = 2;
/// Number of recent loads whose durations are kept.
const RECENT_LOADS: usize = 32;
/// Ratio of a load's duration to the shortest recent one above which loads slow each other down.
const SLOW_RATIO: f64 = 1.4;
/// Usual duration of a load while none has finished.
const UNKNOWN_DURATION: Duration = Duration::from_millis(850);
/// Shortest time until the first report after an order is requested.
const MIN_FIRST_REPORT: Duration = Duration::from_millis(500);

/// Returns the largest number of loads in progress for a number of targets.
#[must_use]
pub fn ceiling(targets: usize) -> usize {
    (targets / TARGETS_PER_LOAD).max(MIN_LOADS)
}

/// Limit of the number of loads in progress, learned from their durations. It belongs to one term
/// of the lease and is not passed on.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    /// `None` until it has changed for the first time.
    limit: Option<usize>,
    /// Recent loads, oldest first.
    recent: VecDeque<Finished>,
    /// Time of the last change of the limit.
    changed: Instant,
    /// Time of the last reduction of the limit.
    reduced: Instant,
}

impl Pace {
    /// Time between requests for a target's report after the first one.
    pub const REPORT_INTERVAL: Duration = Duration::from_millis(100);

    /// Returns the number of loads that may be in progress for a number of targets.
    #[must_use]
    pub fn limit(&self, targets: usize) -> usize {
        let limit = self.limit.unwrap_or(targets / TARGETS_PER_FIRST_LOAD);
        limit.clamp(MIN_LOADS, ceiling(targets))
    }

    /// Returns the time after an accepted order at which the target's first report is requested:
    /// the usual duration of recent loads that did not slow each other down, which is the shortest.
    /// By the median, loads that end early after a crowded wave would be seen late, and the delay
    /// would count as slowness.
    #[must_use]
    pub fn first_report(&self) -> Duration {
        let shortest = self.recent.iter().map(Finished::earliest).min();
        shortest.unwrap_or(UNKNOWN_DURATION).max(MIN_FIRST_REPORT)
    }

    /// Records a load that has finished while `in_progress` loads, with itself, were in progress.
    ///
    /// Loads that were in progress at the last change of the limit say nothing about the new one:
    /// if each of them raised it, it would double with each wave, and every second wave would be
    /// crowded. Fast loads raise it only if there were as many as it allows.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    pub fn record(&mut self, load: Finished, targets: usize, in_progress: usize) {
        self.recent.push_back(load);
        if self.recent.len() > RECENT_LOADS {
            self.recent.pop_front();
        }
        let shortest = self.recent.iter().map(Finished::duration).min().unwrap_or_default();
        let ratio = load.duration().as_secs_f64() / shortest.as_secs_f64();
        let limit = self.limit(targets);
        if ratio > SLOW_RATIO && load.accepted >= self.reduced {
            self.limit = Some(((limit as f64 / ratio) as usize).max(MIN_LOADS));
            (self.changed, self.reduced) = (load.reported, load.reported);
        } else if ratio <= SLOW_RATIO && load.accepted >= self.changed && in_progress >= limit {
            self.limit = Some((limit + 1).min(ceiling(targets)));
            self.changed = load.reported;
        }
    }
}
