use std::{cmp::Reverse, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

/// Most targets of a report.
pub const MAX_TARGETS: usize = 200;
/// Most samples that a report claims. The means are moving averages that remember no more.
const MAX_SAMPLES: u32 = 32;

/// Speed of a target as one host measured it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Mean milliseconds between two events of a run.
    pub event_interval_ms: f64,
    /// Number of samples.
    pub samples: u32,
    /// Time since the last one.
    pub age: Duration,
}

/// What one host has observed of one run of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observed {
    /// Id of the target.
    pub target: Rc<str>,
    /// Start of its run in Unix milliseconds, if the target says it.
    #[serde(default)]
    pub started: Option<u64>,
    /// Requests of the host in progress.
    #[serde(default)]
    pub running: u32,
    /// Mean microseconds between two events of a run, or 0 if none were seen.
    #[serde(default)]
    pub interval_us: u32,
    /// Number of samples of that mean.
    #[serde(default)]
    pub samples: u32,
    /// Milliseconds since the last request began or ended or the last sample, when the report was
    /// sent.
    #[serde(default)]
    pub age_ms: u32,
}

impl Observed {
    /// Creates the observation of a target. `age` is the time since it changed.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn new(
        target: Rc<str>,
        started: Option<u64>,
        running: u32,
        speed: Option<Speed>,
        age: Duration,
    ) -> Self {
        let interval_us = speed.map_or(0, |speed| (speed.event_interval_ms * 1000.0) as u32);
        let samples = speed.map_or(0, |speed| speed.samples.min(MAX_SAMPLES));
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Self { target, started, running, interval_us, samples, age_ms }
    }

    /// Returns the milliseconds between two events and the number of samples, if any were seen.
    pub(super) fn interval(&self) -> Option<(f64, u32)> {
        let samples = self.samples.min(MAX_SAMPLES);
        (self.interval_us > 0 && samples > 0)
            .then(|| (f64::from(self.interval_us) / 1000.0, samples))
    }

    /// Returns whether it says the same as another observation, but for its age.
    pub(super) fn says_the_same(&self, other: &Self) -> bool {
        *self == Self { age_ms: self.age_ms, ..other.clone() }
    }
}

/// What one host has observed of the targets that it used most recently.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The host.
    pub host: Rc<str>,
    /// Number of its process.
    pub run: u64,
    /// Number of the report, which grows with each report of a process.
    pub sequence: u64,
    /// The observations.
    pub targets: Vec<Observed>,
}

impl Report {
    /// Creates a report of at most [`MAX_TARGETS`] targets.
    #[must_use]
    pub fn new(host: Rc<str>, run: u64, sequence: u64, mut targets: Vec<Observed>) -> Self {
        targets.sort_by_key(|observed| (observed.age_ms, Reverse(observed.running)));
        targets.truncate(MAX_TARGETS);
        Self { host, run, sequence, targets }
    }
}
