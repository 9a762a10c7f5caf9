//! A model of hosts that send calls to three targets, of which callers repeat refused ones once.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use tamarackdock_types::clock::Instant;

use crate::outlook::{Candidate, Decision, Name, Outlook};

pub(super) const SEED: u64 = 45;
const TARGETS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 25;
const OBJECTIVE_MS: u64 = 150;
const DEADLINE_MS: u64 = 800;
const HEDGE_MS: u64 = 60;
const ATTEMPTS: usize = 3;
/// Time for which a host prefers other targets after a refusal, as `balance` does.
const AVOID_MS: u64 = 150;
/// `Retry-After` of the decision before the outlook.
const BASELINE_RETRY_MS: u64 = 250;

/// How a target treats calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Up,
    /// Refuses every call.
    Refusing,
    /// Connections can't be opened.
    Gone,
    /// Accepts calls and never responds to them.
    Silent,
    /// Accepts calls and runs them when it is up again.
    Frozen,
}

pub(super) struct Load {
    pub(super) hosts: u64,
    /// Calls a second by time in milliseconds.
    pub(super) rate: fn(u64) -> f64,
    pub(super) state: fn(usize, u64) -> State,
    pub(super) end_ms: u64,
}

/// What callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Tally {
    pub(super) prompt: u32,
    pub(super) answered: u32,
    pub(super) refused: u32,
    pub(super) refused_late: u32,
    pub(super) failed: u32,
    /// Refusals before any target was asked, also of calls whose retry was answered.
    pub(super) at_once: u32,
}

#[derive(Debug, Default)]
struct Host {
    outlook: Outlook,
    running: [u32; TARGETS],
    avoided_until: [u64; TARGETS],
}

#[derive(Debug, Default)]
struct Target {
    running: Vec<(usize, u64)>,
    waiting: VecDeque<usize>,
}

#[derive(Debug, Clone, Default)]
struct Call {
    arrived: u64,
    host: usize,
    hedge_at: u64,
    tried: Vec<usize>,
    /// Targets at which attempts run, and when these began.
    running: Vec<(usize, u64)>,
    retried: bool,
    may_have_run: bool,
}

struct Model<'a> {
    load: &'a Load,
    with_outlook: bool,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    calls: BTreeMap<usize, Call>,
    retries: BTreeMap<(u64, usize), Call>,
    tally: Tally,
    random: u64,
}

pub(super) fn run(load: &Load, with_outlook: bool) -> Tally {
    let mut model = Model {
        load,
        with_outlook,
        hosts: (0..load.hosts).map(|_| Host::default()).collect(),
        targets: (0..TARGETS).map(|_| Target::default()).collect(),
        calls: BTreeMap::new(),
        retries: BTreeMap::new(),
        tally: Tally::default(),
        random: SEED,
    };
    let (mut due, mut next_id) = (0.0, 0);
    for now in 0..load.end_ms + 2 * DEADLINE_MS {
        model.step_targets(now);
        while model.retries.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
            if let Some(((_, id), call)) = model.retries.pop_first() {
                model.offer(id, call, now);
            }
        }
        if now < load.end_ms {
            // Twice the rate with half the probability, for uneven arrivals.
            let doubled = model.draw(2) == 0;
            due += if doubled { (load.rate)(now) / 500.0 } else { 0.0 };
        }
        while due >= 1.0 {
            due -= 1.0;
            next_id += 1;
            model.offer(next_id, Call { arrived: now, ..Call::default() }, now);
        }
        model.step_calls(now);
    }
    model.tally
}

fn at(now: u64) -> Instant {
    Instant::from_millis(now)
}

fn name(target: usize) -> Name {
    format!("t{target}").into()
}

fn index(target: &str) -> Option<usize> {
    (0..TARGETS).find(|index| *name(*index) == *target)
}

impl Model<'_> {
    fn draw(&mut self, below: u64) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.random >> 33) % below
    }

    fn candidates(&self, call: &Call, now: u64) -> Vec<usize> {
        let host = &self.hosts[call.host];
        let mut targets: Vec<usize> =
            (0..TARGETS).filter(|target| !call.tried.contains(target)).collect();
        targets.sort_by_key(|target| {
            let running = host.running[*target];
            (now < host.avoided_until[*target], running as usize >= SLOTS, running)
        });
        targets
    }

    fn decide(&self, call: &Call, now: u64) -> Decision {
        let (candidates, left) = self.outlook_inputs(call, now);
        self.hosts[call.host].outlook.decide("app", candidates, left, at(now))
    }

    fn choose(&self, call: &Call, now: u64) -> Option<usize> {
        let (candidates, _) = self.outlook_inputs(call, now);
        let outlook = &self.hosts[call.host].outlook;
        let chosen = outlook.choose("app", candidates, at(now));
        let mut order = self.candidates(call, now).into_iter();
        order.find(|target| {
            !self.with_outlook || chosen.as_ref().is_some_and(|chosen| chosen.id == name(*target))
        })
    }

    /// Returns the targets that a call was not sent to, and the time that it has left.
    fn outlook_inputs(&self, call: &Call, now: u64) -> (Vec<Candidate>, Duration) {
        let running = self.hosts[call.host].running;
        let candidate = |target: usize| Candidate {
            id: name(target),
            running: running[target],
            slots: u32::try_from(SLOTS).unwrap(),
        };
        let targets = self.candidates(call, now).into_iter().map(candidate).collect();
        (targets, at(call.arrived + DEADLINE_MS).since(at(now)))
    }

    /// Takes a call or its retry at a host.
    fn offer(&mut self, id: usize, call: Call, now: u64) {
        let host = usize::try_from(self.draw(self.load.hosts)).unwrap();
        let mut call = Call { host, ..call };
        let mut first = None;
        match self.decide(&call, now) {
            Decision::Refuse(refusal) if self.with_outlook => {
                self.tally.at_once += 1;
                return self.refuse(id, &call, refusal.retry_after, now);
            }
            Decision::Probe { target } if self.with_outlook => {
                first = index(&target);
            }
            _ => {}
        }
        self.attempt(&mut call, id, first, now);
        self.calls.insert(id, call);
    }

    /// Sends a call to further targets until one accepts it.
    fn attempt(&mut self, call: &mut Call, id: usize, mut first: Option<usize>, now: u64) {
        while call.tried.len() < ATTEMPTS {
            let has_refusal = !call.tried.is_empty() && call.running.is_empty();
            if self.with_outlook && has_refusal && !call.may_have_run {
                let (candidates, _) = self.outlook_inputs(call, now);
                let outlook = &self.hosts[call.host].outlook;
                if !outlook.goes_on("app", candidates, at(now)) {
                    return;
                }
            }
            let next = first.take().or_else(|| self.choose(call, now));
            let Some(target) = next else { return };
            call.tried.push(target);
            let host = &mut self.hosts[call.host];
            host.outlook.started(&name(target), at(now));
            let queue = &mut self.targets[target];
            match (self.load.state)(target, now) {
                State::Up if queue.running.len() < SLOTS => queue.running.push((id, now + WORK_MS)),
                State::Up if queue.waiting.len() < QUEUE => queue.waiting.push_back(id),
                State::Silent => {}
                State::Frozen => queue.waiting.push_back(id),
                state => {
                    match state {
                        State::Gone => host.outlook.broke(&name(target), at(now)),
                        _ => host.outlook.refused(&name(target), None, at(now)),
                    }
                    host.outlook.ended(&name(target), at(now));
                    host.avoided_until[target] = now + AVOID_MS;
                    continue;
                }
            }
            host.running[target] += 1;
            call.running.push((target, now));
            call.hedge_at = now + HEDGE_MS;
            return;
        }
    }

    fn refuse(&mut self, id: usize, call: &Call, after: Duration, now: u64) {
        let retry_at = now + u64::try_from(after.as_millis()).unwrap();
        let is_late = now - call.arrived > OBJECTIVE_MS;
        if !call.retried && retry_at < call.arrived + DEADLINE_MS {
            let retry = Call { arrived: call.arrived, retried: true, ..Call::default() };
            self.retries.insert((retry_at, id), retry);
        } else {
            self.tally.refused += 1;
            self.tally.refused_late += u32::from(is_late);
        }
    }

    fn end_attempts(&mut self, id: usize, call: &Call, now: u64) {
        for (target, _) in &call.running {
            let host = &mut self.hosts[call.host];
            host.running[*target] -= 1;
            host.outlook.ended(&name(*target), at(now));
            self.targets[*target].running.retain(|(other, _)| *other != id);
            self.targets[*target].waiting.retain(|other| *other != id);
        }
    }

    fn step_targets(&mut self, now: u64) {
        for index in 0..TARGETS {
            match (self.load.state)(index, now) {
                State::Up => {}
                State::Frozen => continue,
                State::Refusing | State::Gone | State::Silent => {
                    self.break_off(index, now);
                    continue;
                }
            }
            let running = std::mem::take(&mut self.targets[index].running);
            let (ended, rest): (Vec<_>, Vec<_>) =
                running.into_iter().partition(|(_, end)| *end <= now);
            self.targets[index].running = rest;
            for (id, _) in ended {
                let Some(call) = self.calls.remove(&id) else { continue };
                let began = call.running.iter().find(|(target, _)| *target == index);
                let took = began.map(|(_, began)| at(now).since(at(*began)));
                let outlook = &mut self.hosts[call.host].outlook;
                outlook.answered(&"app".into(), &name(index), took, at(now));
                self.end_attempts(id, &call, now);
                self.tally.answered += 1;
                self.tally.prompt += u32::from(now - call.arrived <= OBJECTIVE_MS);
            }
            let target = &mut self.targets[index];
            while target.running.len() < SLOTS
                && let Some(id) = target.waiting.pop_front()
            {
                target.running.push((id, now + WORK_MS));
            }
        }
    }

    /// Breaks the connections of a target that has gone, or loses its calls if it is silent.
    fn break_off(&mut self, index: usize, now: u64) {
        let target = std::mem::take(&mut self.targets[index]);
        if (self.load.state)(index, now) == State::Silent {
            return;
        }
        for id in target.running.into_iter().map(|(id, _)| id).chain(target.waiting) {
            let Some(call) = self.calls.get_mut(&id) else { continue };
            call.running.retain(|(other, _)| *other != index);
            call.may_have_run = true;
            let host = &mut self.hosts[call.host];
            host.running[index] -= 1;
            host.outlook.broke(&name(index), at(now));
            host.outlook.ended(&name(index), at(now));
            host.avoided_until[index] = now + AVOID_MS;
        }
    }

    fn step_calls(&mut self, now: u64) {
        let ids: Vec<usize> = self.calls.keys().copied().collect();
        for id in ids {
            let Some(mut call) = self.calls.remove(&id) else { continue };
            if call.running.is_empty() || now >= call.hedge_at {
                self.attempt(&mut call, id, None, now);
            }
            match () {
                () if now >= call.arrived + DEADLINE_MS => {
                    self.end_attempts(id, &call, now);
                    self.tally.failed += 1;
                }
                () if !call.running.is_empty() => {
                    self.calls.insert(id, call);
                }
                () if call.may_have_run => self.tally.failed += 1,
                () => {
                    call.tried.clear();
                    let (candidates, left) = self.outlook_inputs(&call, now);
                    let outlook = &self.hosts[call.host].outlook;
                    let refusal = outlook.refusal("app", candidates, left, at(now)).unwrap();
                    let fixed = Duration::from_millis(BASELINE_RETRY_MS);
                    let after = if self.with_outlook { refusal.retry_after } else { fixed };
                    self.refuse(id, &call, after, now);
                }
            }
        }
    }
}
