//! Limits that targets name in their answers: requests a second that a target in trouble
//! accepts from all nodes together.
//!
//! The load that this is made for is a service most of whose targets accept one or two requests
//! a second, while the items of a step start within a second on one node and the calls of apps
//! come to hundreds of nodes. A share of the limit for each node would be far below one request.
//! So one node for each target, its limiter, grants permits to all nodes: see
//! [`permits`], and "Limits of targets" in `docs/platform-system.md`.

mod bucket;
pub(crate) mod permits;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, serde_as};
use tamarackdock_types::clock::Instant;

pub(crate) use self::bucket::{Bucket, Demand, Grant};
use crate::{deployment::Name, target::Registration};

/// Longest time between two requests that a limit asks for. Only the answers of a target tell
/// when its limit ends, so that even one that accepts nothing gets a request now and then.
const MAX_SPACING: Duration = Duration::from_secs(10);
/// Age of an answer with a limit after which the target is no longer used last: its limit may
/// have ended.
const RECHECK_MS: i64 = 2_000;
/// Time for which the limit of a target without a row is remembered.
const KEEP_MS: i64 = 10 * 60 * 1_000;
/// Time after which an unused permit is void. The limiter counts it as used.
const PERMIT_TTL: Duration = Duration::from_millis(300);
/// Shortest pause between two requests for permits for one target.
const MIN_ASK_PAUSE: Duration = Duration::from_millis(50);

/// What an answer of a target says about its limit.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Observation {
    /// Time between two requests at the limit, or `None` if the target names no limit.
    #[serde_as(as = "Option<DurationMicroSeconds<u64>>")]
    pub(crate) spacing: Option<Duration>,
    /// Store time in milliseconds: that of the answer if it names a limit, else that of the
    /// request. An answer that was read late can't end a limit that was named after it.
    pub(crate) at_ms: i64,
}

impl Observation {
    /// Returns what an answer with a limit in requests a second says, or `None` if that is not
    /// a rate.
    pub(crate) fn named(rate: f64, at_ms: i64) -> Option<Self> {
        if !rate.is_finite() || rate < 0.0 {
            return None;
        }
        let spacing = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_SPACING);
        let spacing = spacing.min(MAX_SPACING).as_micros();
        // Whole microseconds, as other nodes get it.
        let spacing = Duration::from_micros(u64::try_from(spacing).unwrap_or(u64::MAX));
        Some(Self { spacing: Some(spacing), at_ms })
    }

    /// Returns what an answer without a limit says.
    pub(crate) fn unlimited(request_sent_ms: i64) -> Self {
        Self { spacing: None, at_ms: request_sent_ms }
    }
}

/// What a node tells the others about the limit of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Notice {
    /// Id of the target.
    pub(crate) target: Name,
    /// Start of the target's run.
    pub(crate) started: Option<u64>,
    pub(crate) observation: Observation,
}

/// A target whose limit this node has heard of.
#[derive(Debug, Clone)]
struct LimitedTarget {
    /// Start of the run that the observation is about.
    started: Option<u64>,
    observation: Observation,
    /// Time of the first observation since the limit last changed.
    changed_ms: i64,
    /// Permits for items, valid until `expires`.
    permits: u32,
    expires: Instant,
    /// Time until which the limiter grants no further permits.
    withheld_until: Instant,
    /// Whether permits for items are being asked for.
    asking: bool,
}

/// The limits that this node knows, and its permits.
#[derive(Debug, Default)]
pub(crate) struct TargetLimits(BTreeMap<Name, LimitedTarget>);

impl TargetLimits {
    /// Records what an answer of a run of a target says, unless a later one is known. Returns
    /// whether the limit has changed.
    pub(crate) fn record(
        &mut self,
        id: &Name,
        started: Option<u64>,
        observation: Observation,
    ) -> bool {
        let known = self.0.get_mut(id).filter(|known| known.started == started);
        match known {
            Some(known) if observation.at_ms <= known.observation.at_ms => false,
            Some(known) => {
                let before = std::mem::replace(&mut known.observation, observation);
                let has_changed = before.spacing != observation.spacing;
                if has_changed {
                    known.changed_ms = observation.at_ms;
                }
                has_changed
            }
            // Nothing is kept of targets that never named a limit.
            None if observation.spacing.is_none() => false,
            None => {
                let limited = LimitedTarget {
                    started,
                    observation,
                    changed_ms: observation.at_ms,
                    permits: 0,
                    expires: Instant::default(),
                    withheld_until: Instant::default(),
                    asking: false,
                };
                self.0.insert(id.clone(), limited);
                true
            }
        }
    }

    /// Returns the newest observation of a run of a target.
    pub(crate) fn observation(&self, id: &str, started: Option<u64>) -> Option<Observation> {
        let known = self.0.get(id).filter(|known| known.started == started);
        known.map(|known| known.observation)
    }

    /// Returns what is known of the targets that `is_own` accepts.
    pub(crate) fn notices(&self, is_own: impl Fn(&Name) -> bool) -> Vec<Notice> {
        let own = self.0.iter().filter(|(target, _)| is_own(target));
        own.map(|(target, known)| Notice {
            target: target.clone(),
            started: known.started,
            observation: Observation { at_ms: known.changed_ms, ..known.observation },
        })
        .collect()
    }

    /// Returns whether no target has named a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether requests to a target need permits.
    pub(crate) fn is_limited(&self, target: &Registration) -> bool {
        let observation = self.observation(&target.id, target.started);
        observation.is_some_and(|observation| observation.spacing.is_some())
    }

    /// Returns whether calls should prefer other targets: the target has named a limit a short
    /// time ago.
    pub(crate) fn is_spared(&self, target: &Registration, store_ms: Option<i64>) -> bool {
        let observation = self.observation(&target.id, target.started);
        observation.is_some_and(|observation| {
            let age = store_ms.map_or(0, |now| now - observation.at_ms);
            observation.spacing.is_some() && age < RECHECK_MS
        })
    }

    /// Returns for how long the limiter of a target grants no permits.
    pub(crate) fn withheld_for(&self, target: &Registration, now: Instant) -> Duration {
        let known = self.0.get(&target.id).filter(|_| self.is_limited(target));
        known.map_or(Duration::ZERO, |known| known.withheld_until.since(now))
    }

    /// Records that the limiter of a target grants no permits for a time.
    pub(crate) fn withhold(&mut self, id: &str, pause: Duration, now: Instant) {
        if let Some(known) = self.0.get_mut(id) {
            known.withheld_until = now + pause;
        }
    }

    /// Returns how many items may start on a target now.
    pub(crate) fn allowed_items(&self, target: &Registration, now: Instant) -> u32 {
        match self.0.get(&target.id) {
            Some(known) if self.is_limited(target) && now < known.expires => known.permits,
            Some(_) if self.is_limited(target) => 0,
            _ => u32::MAX,
        }
    }

    /// Uses a permit for an item.
    pub(crate) fn use_permit(&mut self, id: &str) {
        if let Some(known) = self.0.get_mut(id) {
            known.permits = known.permits.saturating_sub(1);
        }
    }

    /// Returns whether permits for items on a target are to be asked for, and records that they
    /// are.
    pub(crate) fn begin_asking(&mut self, target: &Registration, now: Instant) -> bool {
        let is_limited = self.is_limited(target);
        match self.0.get_mut(&target.id) {
            Some(known) if is_limited && !known.asking && now >= known.withheld_until => {
                known.asking = true;
                true
            }
            _ => false,
        }
    }

    /// Records the permits for items that the limiter granted, and when it may be asked again.
    pub(crate) fn end_asking(&mut self, id: &str, grant: Grant, now: Instant) {
        if let Some(known) = self.0.get_mut(id) {
            known.asking = false;
            known.permits = grant.count;
            known.expires = now + PERMIT_TTL;
            known.withheld_until = now + grant.retry_after.max(MIN_ASK_PAUSE);
        }
    }

    /// Removes the limits of targets that have been gone for a while. The row of a target can
    /// be gone for some seconds only.
    pub(crate) fn sweep(&mut self, in_use: impl Fn(&str) -> bool, store_ms: i64) {
        self.0
            .retain(|target, known| in_use(target) || store_ms - known.observation.at_ms < KEEP_MS);
    }
}
