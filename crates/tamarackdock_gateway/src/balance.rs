//! Load balancing of calls over targets, by what the node has observed of its own
//! requests. Targets get no health checks, as these cost slots and can be wrong.
//!
//! The intended load is short calls to plain services whose targets are far from
//! full, while single targets become slow, unresponsive or cold.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use derive_more::Display;
use tamarackdock_rollout::finish;
use tamarackdock_route::{
    observed::{Observed, Speed},
    pace::{Cause, Pace, Running, Turn},
};
use tamarackdock_types::clock::Instant;

use crate::{
    deployment::{Name, Service},
    origin::Origin,
    pace::PaceChange,
    target::{Registration, Software, Target},
};

/// Time for which a target is used only as a last choice after the connection of a
/// request to it broke or it did not respond.
const SUSPECT_FOR: Duration = Duration::from_millis(2500);
/// Time for which a target is used only as a last choice after it refused a request,
/// could not be connected to, or had the wrong weights for an item.
const FULL_FOR: Duration = Duration::from_millis(150);
/// Window over which request starts on a target are counted, for the rate limit of cold
/// targets and the limit on the starts of items. A tenth longer than the second of the
/// rate limit, since network delays to the target differ.
const START_WINDOW: Duration = Duration::from_millis(1100);
/// Longest time between two events that counts for a target's mean. Longer gaps come
/// from loads of weights.
const MAX_EVENT_GAP: Duration = Duration::from_millis(450);
/// Share of a cold target's rate that calls may use. Items of batch jobs may use
/// [`ITEMS_SHARE`], and the limit on both together is 1.5 times the rate.
const CALLS_SHARE: f64 = 0.4;
/// Share of a cold target's rate that items of batch jobs may use.
pub(crate) const ITEMS_SHARE: f64 = 0.9;
/// Time since its last use for which a target is reported to other nodes.
const REPORTED_FOR: Duration = Duration::from_secs(10);
/// Age of a target's start up to which a node that has just started takes it for new.
const NEW_TARGET_MS: u64 = 5_000;
/// Most changes of the pace of targets that are kept for the log.
const MAX_PACE_CHANGES: usize = 256;
/// Weight of a new sample in a target's moving average time between events.
const EVENT_GAP_WEIGHT: f64 = 0.2;

/// What this node has observed of one target.
#[derive(Debug, Clone, Default)]
pub(crate) struct TargetLoad {
    /// Requests of this node in progress.
    pub(crate) running: u32,
    suspect_until: Instant,
    /// Until when it counts as full for each kind of requests.
    full_until: [Instant; Sender::COUNT],
    starts: VecDeque<Instant>,
    /// What is known since the target last refused a request.
    recovery: Recovery,
    /// The same where the pace of targets is learned.
    pace: Pace,
    /// Turn of this node among those that want to probe the target.
    turn: Turn,
    /// Moving average of the milliseconds between two events of a stream.
    pub(crate) event_interval_ms: Option<f64>,
    /// The same for a run that is alone on the target.
    single: finish::Speed,
    /// Time of the last sample.
    sampled: Instant,
    /// When a request last began.
    used: Instant,
    /// Whether it has refused a request and accepted none since.
    pub(crate) refuses: bool,
    /// When it last accepted a request, by model.
    accepted: BTreeMap<Option<Name>, Instant>,
}

/// Who sends requests of a kind. A target may refuse all requests of one kind, such as calls with
/// prompts that exceed its memory, while it has room for the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sender {
    /// The caller of a call.
    Caller,
    /// The owner of a batch job, to score an item.
    Scoring,
    /// The owner of a batch job, to run an item.
    Item,
}

impl Sender {
    const COUNT: usize = 3;
}

impl From<Origin> for Sender {
    fn from(origin: Origin) -> Self {
        match origin {
            Origin::Caller => Self::Caller,
            Origin::Scoring => Self::Scoring,
        }
    }
}

/// Whether a target that refused a request has accepted one since. A target that loads weights
/// refuses all requests for about a second, so that one at a time is enough to see its end.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Recovery {
    /// It has accepted a request since, or refused none.
    #[default]
    Recovered,
    /// It has refused the last request.
    Refusing,
    /// Another request was sent, and its answer is not known.
    Probing,
}

/// Why a target is used only as a last choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Avoidance {
    pub(crate) reason: &'static str,
    /// Time since the observation behind it.
    pub(crate) age: Duration,
    /// Time until it ends without a further observation.
    pub(crate) left: Duration,
}

impl TargetLoad {
    /// Returns how many requests may be sent to find out whether the target accepts them again,
    /// or `None` if it does.
    pub(crate) fn allowed_probes(&self) -> Option<u32> {
        match self.recovery {
            Recovery::Recovered => None,
            Recovery::Refusing => Some(1),
            Recovery::Probing => Some(0),
        }
    }

    /// Returns how many requests the learned pace allows now, or `None` if the target is steady.
    /// `others` is the number of requests of other nodes in progress.
    pub(crate) fn allowed_by_pace(&self, others: u32, now: Instant) -> Option<u32> {
        self.pace.allowed(Running { own: self.running, others }, now)
    }

    /// Returns the speed of the target for a run that is alone on it, by the requests of this
    /// node, if it is known.
    pub(crate) fn speed(&self, now: Instant) -> Option<Speed> {
        let age = now.since(self.sampled);
        let samples = self.single.samples();
        self.single.event_ms().map(|event_interval_ms| Speed { event_interval_ms, samples, age })
    }

    /// Returns whether the target is to be used only as a last choice, because a recent
    /// request to it failed, was not run or met the wrong weights.
    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoidance(now).is_some()
    }

    /// Returns the same for requests of one kind, for which refusals of others don't count.
    pub(crate) fn is_avoided_by(&self, sender: Sender, now: Instant) -> bool {
        now < self.suspect_until || now < self.full_until[sender as usize]
    }

    /// Returns why the target is to be used only as a last choice, if it is.
    pub(crate) fn avoidance(&self, now: Instant) -> Option<Avoidance> {
        let full_until = self.full_until.into_iter().max().unwrap_or_default();
        let (reason, until, whole) = match () {
            () if now < self.suspect_until => ("suspect", self.suspect_until, SUSPECT_FOR),
            () if now < full_until => ("full", full_until, FULL_FOR),
            () => return None,
        };
        let left = until.since(now);
        Some(Avoidance { reason, age: whole.saturating_sub(left), left })
    }

    /// Returns how many of a target's `slots` are free for calls that leave `reserved` of them
    /// to others. A target with fewer slots takes one such call at a time.
    pub(crate) fn unreserved_slots(&self, slots: u32, reserved: u32) -> u32 {
        slots.saturating_sub(reserved).max(1).saturating_sub(self.running)
    }

    /// Returns how many requests were started within [`START_WINDOW`].
    pub(crate) fn recent_starts(&self, now: Instant) -> usize {
        self.starts.iter().filter(|at| now.since(**at) < START_WINDOW).count()
    }
}

/// What this node has observed of all targets.
#[derive(Debug, Default)]
pub(crate) struct TargetLoads {
    loads: BTreeMap<Name, TargetLoad>,
    /// Whether the pace of targets is learned.
    is_adaptive: bool,
    /// Starts of the targets with an entry, once they were observed.
    known: Option<BTreeMap<Name, Option<u64>>>,
    pace_changes: VecDeque<PaceChange>,
}

impl TargetLoads {
    /// Sets whether the pace of targets is learned.
    pub(crate) fn set_adaptive(&mut self, is_adaptive: bool) {
        self.is_adaptive = is_adaptive;
        if !is_adaptive {
            self.loads.values_mut().for_each(|load| load.pace = Pace::default());
        }
    }

    /// Returns which of the present entries are new or belong to another run of their target. On
    /// the first call, those are the ones that have just started by their own word.
    pub(crate) fn observe_entries<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a Registration>,
        wall_ms: u64,
    ) -> Vec<&'a Registration> {
        let mut present = BTreeMap::new();
        let mut appeared = Vec::new();
        for entry in entries {
            let is_new = match &self.known {
                Some(known) => known.get(&entry.id) != Some(&entry.started),
                None => entry
                    .started
                    .is_some_and(|started| wall_ms.saturating_sub(started) < NEW_TARGET_MS),
            };
            if is_new {
                appeared.push(entry);
            }
            present.insert(entry.id.clone(), entry.started);
        }
        // Before the first feed, no entry is known at all.
        if self.known.is_some() || !present.is_empty() {
            self.known = Some(present);
        }
        appeared
    }

    /// Records that the entry of a target appeared.
    pub(crate) fn mark_appeared(&mut self, target: &Name, turn: Turn, now: Instant) {
        let load = self.loads.entry(target.clone()).or_default();
        load.turn = turn;
        self.reset_pace(target, Cause::Appeared, now);
    }

    /// Returns what other nodes are told about a target: nothing if it was not used a short time
    /// ago.
    pub(crate) fn observed(&self, entry: &Registration, now: Instant) -> Option<Observed> {
        let load = self.loads.get(&entry.id)?;
        let age = now.since(load.used.max(load.sampled));
        let is_recent = load.running > 0 || age < REPORTED_FOR;
        is_recent.then(|| {
            let speed = load.speed(now);
            let age = speed.map_or(age, |speed| speed.age);
            Observed::new(entry.id.clone(), entry.started, load.running, speed, age)
        })
    }

    /// Sets the turn of this node among those that want to probe a target.
    pub(crate) fn set_turn(&mut self, target: &str, turn: Turn) {
        if let Some(load) = self.loads.get_mut(target) {
            load.turn = turn;
        }
    }

    /// Records that a request that was sent at `sent` got its first event or its response.
    pub(crate) fn record_response(
        &mut self,
        target: &Name,
        sent: Instant,
        usual: Option<Duration>,
        slots: u32,
        now: Instant,
    ) {
        self.advance_pace(target, now, |pace| pace.respond(sent, usual, slots, now));
    }

    /// Applies an observation to the pace of a target, and records that the target became steady.
    fn advance_pace(&mut self, target: &str, now: Instant, observe: impl FnOnce(&mut Pace)) {
        let Some(load) = self.loads.get_mut(target) else { return };
        let was_ramping = load.pace.window().is_some();
        observe(&mut load.pace);
        if was_ramping && load.pace.window().is_none() {
            let running = load.running;
            self.add_pace_change(target, None, running, now);
        }
    }

    fn reset_pace(&mut self, target: &str, cause: Cause, now: Instant) {
        let Some(load) = self.loads.get_mut(target).filter(|_| self.is_adaptive) else { return };
        let was_steady = load.pace.window().is_none();
        load.pace.reset(cause, load.running, load.turn, now);
        if was_steady {
            let running = load.running;
            self.add_pace_change(target, Some(cause), running, now);
        }
    }

    fn add_pace_change(&mut self, target: &str, cause: Option<Cause>, running: u32, at: Instant) {
        if self.pace_changes.len() < MAX_PACE_CHANGES {
            self.pace_changes.push_back(PaceChange { target: target.into(), cause, running, at });
        }
    }

    /// Returns the changes of the pace of targets since the last call.
    pub(crate) fn take_pace_changes(&mut self) -> VecDeque<PaceChange> {
        std::mem::take(&mut self.pace_changes)
    }

    /// Returns the number of targets that ramp.
    pub(crate) fn ramping(&self) -> usize {
        self.loads.values().filter(|load| load.pace.window().is_some()).count()
    }

    /// Returns the state of a target, or the default if nothing was observed of it.
    pub(crate) fn get(&self, target: &str) -> TargetLoad {
        self.loads.get(target).cloned().unwrap_or_default()
    }

    /// Records the start of a request.
    pub(crate) fn start(&mut self, target: &Name, now: Instant) {
        let load = self.loads.entry(target.clone()).or_default();
        load.running += 1;
        load.used = now;
        load.starts.retain(|at| now.since(*at) < START_WINDOW);
        load.starts.push_back(now);
        if load.recovery == Recovery::Refusing {
            load.recovery = Recovery::Probing;
        }
    }

    /// Records the end of a request.
    pub(crate) fn end(&mut self, target: &str) {
        if let Some(load) = self.loads.get_mut(target) {
            load.running = load.running.saturating_sub(1);
            load.pace.end(load.running);
            if load.recovery == Recovery::Probing {
                load.recovery = Recovery::Refusing;
            }
        }
    }

    /// Records that a target has begun to process a request for a model, if it has one.
    pub(crate) fn record_accepted(&mut self, target: &str, model: Option<&Name>, now: Instant) {
        if let Some(load) = self.loads.get_mut(target) {
            load.recovery = Recovery::Recovered;
            load.refuses = false;
            load.accepted.insert(model.cloned(), now);
        }
    }

    /// Returns when a target last began to process a request for a model.
    pub(crate) fn last_accepted(&self, target: &str, model: Option<&Name>) -> Option<Instant> {
        self.loads.get(target)?.accepted.get(&model.cloned()).copied()
    }

    /// Records that the connection of a request to a target broke, or that the target did
    /// not respond.
    pub(crate) fn mark_suspect(&mut self, target: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(target) {
            load.suspect_until = now + SUSPECT_FOR;
        }
    }

    /// Records that a target refused a call or could not be connected to for it.
    pub(crate) fn refuse_call(&mut self, entry: &Registration, origin: Origin, now: Instant) {
        if let Some(load) = self.loads.get_mut(&entry.id) {
            load.full_until[Sender::from(origin) as usize] = now + FULL_FOR;
        }
        // The pace of engines is learned from items, and only calls go to plain services.
        if entry.versions.is_empty() {
            self.reset_pace(&entry.id, Cause::Refused, now);
        }
    }

    /// Records that a target refused an item, could not be connected to, or had the wrong
    /// weights for it.
    pub(crate) fn mark_full(&mut self, target: &str, now: Instant) {
        if let Some(load) = self.loads.get_mut(target) {
            load.full_until[Sender::Item as usize] = now + FULL_FOR;
            load.refuses = true;
            if !self.is_adaptive {
                load.recovery = Recovery::Refusing;
            }
        }
        self.reset_pace(target, Cause::Refused, now);
    }

    /// Forgets which targets failed or refused requests, since this node has lost its paths to all
    /// of them.
    pub(crate) fn forget_failures(&mut self) {
        for load in self.loads.values_mut() {
            load.suspect_until = Instant::default();
            load.full_until = Default::default();
            load.recovery = Recovery::Recovered;
            load.refuses = false;
            load.pace = Pace::default();
        }
    }

    /// Records an event of a run that was sent at `sent`.
    pub(crate) fn record_event(&mut self, target: &str, sent: Instant, now: Instant) {
        let Some(load) = self.loads.get_mut(target) else { return };
        load.sampled = now;
        self.advance_pace(target, now, |pace| pace.go_on(sent, now));
    }

    /// Records that a run that was sent at `sent` was completed.
    pub(crate) fn record_completed(&mut self, target: &str, sent: Instant) {
        if let Some(load) = self.loads.get_mut(target) {
            load.pace.complete(sent);
        }
    }

    /// Records that the connection of a request to a target could not be opened or broke, or that
    /// the target was silent.
    pub(crate) fn record_break(&mut self, target: &str, now: Instant) {
        self.reset_pace(target, Cause::Broken, now);
    }

    /// Records the time between two events of a stream. Long gaps are ignored: a load
    /// of weights pauses all streams of a target, which does not mean that it is slow.
    pub(crate) fn record_event_gap(&mut self, target: &str, gap: Duration) {
        let millis = gap.as_secs_f64() * 1000.0;
        match self.loads.get_mut(target) {
            Some(load) if gap < MAX_EVENT_GAP => {
                let mean = load.event_interval_ms.unwrap_or(millis);
                load.event_interval_ms = Some(mean + EVENT_GAP_WEIGHT * (millis - mean));
                if self.is_adaptive {
                    load.single.record(millis, load.running);
                }
            }
            _ => {}
        }
    }

    /// Returns the moving average of the time between two events on a target.
    pub(crate) fn event_interval(&self, target: &str) -> Option<Duration> {
        let millis = self.loads.get(target)?.event_interval_ms?;
        Duration::try_from_secs_f64(millis / 1000.0).ok()
    }

    /// Removes the state of targets that are neither in use nor running a request.
    pub(crate) fn sweep(&mut self, in_use: impl Fn(&str) -> bool) {
        self.loads.retain(|target, load| load.running > 0 || in_use(target));
    }

    /// Returns whether a target can take one more call now. Only cold targets are limited.
    pub(crate) fn has_capacity(
        &self,
        target: &Target,
        service: &Service,
        node_rank: impl FnOnce() -> NodeRank,
        now: Instant,
    ) -> bool {
        if !target.is_cold(now) || service.cold_rate <= 0.0 {
            return true;
        }
        let starts = self.get(&target.registration.id).recent_starts(now);
        starts < cold_share(service.cold_rate * CALLS_SHARE, node_rank())
    }
}

/// The rank of a node in an order that all nodes derive alike, by which they share a
/// cold target's rate. Calls use the order of all live nodes for the target, items of
/// batch jobs that of the nodes that own jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NodeRank {
    /// Number of nodes that rank before this one.
    pub(crate) rank: usize,
    /// Number of nodes in the order.
    pub(crate) nodes: usize,
}

/// Returns how many requests a node may start on a cold target within a second, such
/// that the sum over all nodes is at most the rate.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn cold_share(rate: f64, node_rank: NodeRank) -> usize {
    let total = rate.max(0.0).floor() as usize;
    let nodes = node_rank.nodes.max(1);
    total / nodes + usize::from(node_rank.rank < total % nodes)
}

/// How the limit of a target bears on the next call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct LimitState {
    /// Whether no permit for the target can be had now.
    pub(crate) is_withheld: bool,
    /// Whether other targets should be preferred.
    pub(crate) is_spared: bool,
}

/// What a call requires of its target.
pub(crate) struct Requirements<'a> {
    /// Name of the service.
    pub(crate) service: &'a str,
    /// Data centre of the node.
    pub(crate) data_centre: &'a str,
    /// The only software that may run the call, if it goes on with a stream.
    pub(crate) software: Option<&'a Software>,
    /// Whether the stream can go on later, so that the software that begins it must be known.
    pub(crate) can_go_on: bool,
    /// Targets that the call was already sent to.
    pub(crate) tried: &'a [Name],
    /// Slots of each target that the call leaves free. A call that leaves any is not sent to
    /// a target without a free slot.
    pub(crate) reserved_slots: u32,
    /// Returns the rank of the node among those that may call a target.
    pub(crate) node_rank: &'a dyn Fn(&str) -> NodeRank,
    /// Returns how the limit of a target bears on the call.
    pub(crate) limit: &'a dyn Fn(&Registration) -> LimitState,
}

/// Why a call is not sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum LeftOut {
    #[display("it serves another service")]
    Service,
    #[display("draining")]
    Draining,
    #[display("it runs other software than began the stream")]
    Software,
    #[display("it refused a connection and may have started again with other software")]
    Restarted,
    #[display("the call was already sent to it")]
    Tried,
    #[display("its data centre is evacuated")]
    Evacuated,
    #[display("it has no free slot beside the reserved ones")]
    Reserved,
    #[display("cold, and this host's share of its starts is used up")]
    Cold,
}

/// Returns why a call is not sent to a target, or `None` if it can be.
pub(crate) fn left_out(
    requirements: &Requirements<'_>,
    target: &Target,
    loads: &TargetLoads,
    service: &Service,
    is_evacuated: impl Fn(&str) -> bool,
    now: Instant,
) -> Option<LeftOut> {
    let entry = &target.registration;
    let reserved = requirements.reserved_slots;
    let is_other = |software: &Software| *software.version != *entry.software_version;
    let has_slot = || loads.get(&entry.id).unreserved_slots(entry.slots, reserved) > 0;
    let rank = || (requirements.node_rank)(&entry.id);
    match () {
        () if *entry.service != *requirements.service => Some(LeftOut::Service),
        () if entry.draining => Some(LeftOut::Draining),
        () if requirements.software.is_some_and(is_other) => Some(LeftOut::Software),
        () if requirements.can_go_on && target.may_have_restarted() => Some(LeftOut::Restarted),
        () if requirements.tried.contains(&entry.id) => Some(LeftOut::Tried),
        () if is_evacuated(&entry.data_centre) => Some(LeftOut::Evacuated),
        () if reserved > 0 && !has_slot() => Some(LeftOut::Reserved),
        () if !loads.has_capacity(target, service, rank, now) => Some(LeftOut::Cold),
        () => None,
    }
}

/// Returns the best target for a call. Targets for which permits can be had come first, then
/// those that are not avoided and whose pace allows a call, then those with free slots, then those
/// without a limit, then those in the node's own data centre, then those with the fewest requests
/// of this node relative to their slots.
pub(crate) fn choose<'a>(
    requirements: &Requirements<'_>,
    targets: impl Iterator<Item = &'a Target>,
    loads: &TargetLoads,
    service: &Service,
    is_evacuated: impl Fn(&str) -> bool,
    now: Instant,
) -> Option<&'a Target> {
    let usable = targets.filter(|target| {
        left_out(requirements, target, loads, service, &is_evacuated, now).is_none()
    });
    usable.min_by_key(|target| {
        let entry = &target.registration;
        let load = loads.get(&entry.id);
        let near = *entry.data_centre == *requirements.data_centre;
        let full = load.running >= entry.slots;
        let LimitState { is_withheld, is_spared } = (requirements.limit)(entry);
        let relative_load = load.running * 1000 / entry.slots.max(1);
        let is_avoided = load.is_avoided(now) || load.allowed_by_pace(0, now) == Some(0);
        (is_withheld, is_avoided, full, is_spared, !near, relative_load)
    })
}
