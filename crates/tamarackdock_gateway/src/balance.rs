//! Which target a call goes to. Pure decisions over what the node has seen of
//! its own traffic; health answers are not asked for, as they cost slots and
//! can be wrong.
//!
//! The load that this answers is short calls to plain services whose targets
//! are far from full, while single targets turn slow, dark or cold.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tamarackdock_types::clock::Instant;

use crate::{
    deployment::{Name, Service},
    target::Target,
};

/// How long a target that broke a request or kept silent is used last.
const SUSPECT_FOR: Duration = Duration::from_millis(2500);
/// How long a target that refused a request as full is used last.
const FULL_FOR: Duration = Duration::from_millis(150);
/// Span over which starts on a target are counted for cold starts. A tenth
/// more than the second of the bound, since the ways to the target differ.
const START_SPAN: Duration = Duration::from_millis(1100);
/// Longest time between events that counts for the pace of a target.
const MAX_GAP: Duration = Duration::from_millis(450);
/// Part of a cold target's rate that calls may use. Items of batch jobs use
/// [`ITEMS_SHARE`], and the bound on both together is 1.5 times the rate.
const CALLS_SHARE: f64 = 0.4;
/// Part of a cold target's rate that items of batch jobs may use.
pub(crate) const ITEMS_SHARE: f64 = 0.9;
/// Weight of a new sample in the mean pace of a target.
const PACE_WEIGHT: f64 = 0.2;

/// What a node has seen of one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct Load {
    /// Requests of this node in progress.
    pub(crate) running: u32,
    suspect_until: Instant,
    full_until: Instant,
    starts: VecDeque<Instant>,
    /// Mean milliseconds for an event of a stream.
    pub(crate) pace: Option<f64>,
}

impl Load {
    /// Returns whether the target broke a request or refused one a short time ago.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        now < self.suspect_until || now < self.full_until
    }

    /// Returns how many requests were started within about a second.
    pub(crate) fn recent_starts(&self, now: Instant) -> usize {
        self.starts.iter().filter(|at| now.since(**at) < START_SPAN).count()
    }
}

/// What a node has seen of all targets.
#[derive(Debug, Default)]
pub(crate) struct Loads(BTreeMap<Name, Load>);

impl Loads {
    pub(crate) fn get(&self, target: &str) -> Load {
        self.0.get(target).cloned().unwrap_or_default()
    }

    /// Records the start of a request.
    pub(crate) fn start(&mut self, target: &Name, now: Instant) {
        let load = self.0.entry(target.clone()).or_default();
        load.running += 1;
        load.starts.retain(|at| now.since(*at) < START_SPAN);
        load.starts.push_back(now);
    }

    /// Records the end of a request.
    pub(crate) fn end(&mut self, target: &str) {
        if let Some(load) = self.0.get_mut(target) {
            load.running = load.running.saturating_sub(1);
        }
    }

    /// Records that a target broke a request or kept silent.
    pub(crate) fn suspect(&mut self, target: &str, now: Instant) {
        if let Some(load) = self.0.get_mut(target) {
            load.suspect_until = now + SUSPECT_FOR;
        }
    }

    /// Records that a target refused a request as full.
    pub(crate) fn full(&mut self, target: &str, now: Instant) {
        if let Some(load) = self.0.get_mut(target) {
            load.full_until = now + FULL_FOR;
        }
    }

    /// Records the time between two events of a stream. A load of weights stops
    /// all streams of a target once, which says nothing of its pace.
    pub(crate) fn pace(&mut self, target: &str, gap: Duration) {
        let millis = gap.as_secs_f64() * 1000.0;
        match self.0.get_mut(target) {
            Some(load) if gap < MAX_GAP => {
                let mean = load.pace.unwrap_or(millis);
                load.pace = Some(mean + PACE_WEIGHT * (millis - mean));
            }
            _ => {}
        }
    }

    /// Forgets idle targets that are not in use.
    pub(crate) fn sweep(&mut self, in_use: impl Fn(&str) -> bool) {
        self.0.retain(|target, load| load.running > 0 || in_use(target));
    }

    /// Returns whether a target bears one more call now.
    pub(crate) fn bears(
        &self,
        target: &Target,
        service: &Service,
        place: impl FnOnce() -> Place,
        now: Instant,
    ) -> bool {
        if !target.is_cold(now) || service.cold_rate <= 0.0 {
            return true;
        }
        let starts = self.get(&target.registration.id).recent_starts(now);
        starts < cold_share(service.cold_rate * CALLS_SHARE, place())
    }
}

/// The place of a node among those that may send to a target. All nodes derive
/// the same order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Place {
    /// Number of nodes before this one.
    pub(crate) rank: usize,
    /// Number of all nodes.
    pub(crate) of: usize,
}

/// Returns the requests within about a second that a node may start on a cold
/// target, such that the sum over all nodes is at most the rate.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn cold_share(rate: f64, place: Place) -> usize {
    let all = rate.max(0.0).floor() as usize;
    let of = place.of.max(1);
    all / of + usize::from(place.rank < all % of)
}

/// What a call needs of a target.
pub(crate) struct Need<'a> {
    /// Service of the target.
    pub(crate) service: &'a str,
    /// Data centre of the node.
    pub(crate) data_centre: &'a str,
    /// Targets that the call was sent to before.
    pub(crate) tried: &'a [Name],
    /// Returns the place of the node among those that may call a target.
    pub(crate) place: &'a dyn Fn(&str) -> Place,
}

/// Returns the target for a call: one of the node's own data centre that is not
/// avoided, with the fewest requests for its slots.
pub(crate) fn choose<'a>(
    need: &Need<'_>,
    targets: impl Iterator<Item = &'a Target>,
    loads: &Loads,
    service: &Service,
    is_out: impl Fn(&str) -> bool,
    now: Instant,
) -> Option<&'a Target> {
    let usable = targets.filter(|target| {
        let entry = &target.registration;
        *entry.service == *need.service
            && !entry.draining
            && !need.tried.contains(&entry.id)
            && !is_out(&entry.data_centre)
            && loads.bears(target, service, || (need.place)(&entry.id), now)
    });
    usable.min_by_key(|target| {
        let entry = &target.registration;
        let load = loads.get(&entry.id);
        let near = *entry.data_centre == *need.data_centre;
        let full = load.running >= entry.slots;
        (load.is_avoided(now), full, !near, load.running * 1000 / entry.slots.max(1))
    })
}
