//! Hosts with more waiting items than a target has slots, and what they get of it.

use std::time::Duration;

use super::at;
use crate::pace::{Cause, Pace, Running, Turn};

pub(super) const SLOTS: u32 = 8;
/// Requests that wait for a slot at most. Further ones are refused.
pub(super) const QUEUE: u32 = 24;
/// Time to the first event on a target that is well.
pub(super) const USUAL_MS: u64 = 70;
/// Length of an item on a target that is well.
const ITEM_MS: u64 = 3_000;
/// Step of the simulation.
const TICK_MS: usize = 5;
/// Interval of the reports between hosts.
const REPORT_MS: u64 = 500;
/// Time for which a target is avoided after a refusal, and after a break.
const AVOIDED_MS: [u64; 2] = [150, 2_500];

/// What a target does with a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Answer {
    Refuse,
    /// Accepts it, with the first event after this time.
    Accept(u64),
    /// Accepts it and sends nothing.
    Ignore,
    /// Breaks all connections.
    Crash,
}

/// The decision of one host on when to send requests.
#[derive(Debug, Clone, Copy)]
pub(super) enum Decision {
    /// The decision before this module: one probe, and everything once it is accepted.
    Baseline(Recovery),
    Learned(Pace),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recovery {
    Recovered,
    Refusing,
    Probing,
}

impl Decision {
    fn allowed(&self, running: Running, now: u64) -> u32 {
        match self {
            Self::Baseline(Recovery::Recovered) => u32::MAX,
            Self::Baseline(Recovery::Refusing) => 1,
            Self::Baseline(Recovery::Probing) => 0,
            Self::Learned(pace) => pace.allowed(running, at(now)).unwrap_or(u32::MAX),
        }
    }

    fn start(&mut self) {
        if let Self::Baseline(recovery @ Recovery::Refusing) = self {
            *recovery = Recovery::Probing;
        }
    }

    fn accept(&mut self) {
        if let Self::Baseline(recovery) = self {
            *recovery = Recovery::Recovered;
        }
    }

    fn respond(&mut self, sent: u64, now: u64) {
        if let Self::Learned(pace) = self {
            pace.respond(at(sent), Some(Duration::from_millis(USUAL_MS)), SLOTS, at(now));
        }
    }

    fn fail(&mut self, cause: Cause, running: u32, turn: Turn, now: u64) {
        match self {
            Self::Baseline(recovery) if cause == Cause::Refused => *recovery = Recovery::Refusing,
            Self::Baseline(recovery @ Recovery::Probing) => *recovery = Recovery::Refusing,
            Self::Baseline(_) => {}
            Self::Learned(pace) => pace.reset(cause, running, turn, at(now)),
        }
    }

    fn end(&mut self, running: u32) {
        if let Self::Learned(pace) = self {
            pace.end(running);
        }
    }

    /// Returns the time without a first event after which a run ends.
    fn silence_ms(&self) -> u64 {
        if matches!(self, Self::Learned(_)) { 600 } else { 2_500 }
    }
}

#[derive(Debug, Clone, Copy)]
struct Request {
    host: usize,
    sent: u64,
    /// When its first event comes, if one does.
    first_event: Option<u64>,
    begun: bool,
}

/// What the callers of all hosts got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Outcome {
    /// Requests that the target refused.
    pub(super) refused: u32,
    /// Requests that broke, or ended without an event.
    pub(super) broken: u32,
    /// Items that were completed.
    pub(super) completed: u32,
    /// When all slots of the target were first used by items with events.
    pub(super) full_at: Option<u64>,
    /// Most requests sent within one tick by all hosts together.
    pub(super) burst: u32,
}

struct Host {
    decision: Decision,
    turn: Turn,
    avoided_until: u64,
    reported: u32,
}

/// Lets hosts with endless demand use one target for some time. `answer` gets the time, the
/// requests in progress and those that arrived within the last 100 ms, which are none if no request
/// arrives now.
pub(super) fn simulate(
    decision: Decision,
    hosts: usize,
    duration_ms: u64,
    mut answer: impl FnMut(u64, u32, u32) -> Answer,
) -> Outcome {
    let names: Vec<String> = (0..hosts).map(|host| format!("edge-{host}")).collect();
    let turn = |host: usize| {
        let others = names.iter().map(String::as_str);
        Turn::new("llm", &names[host], others, Some(Duration::from_millis(USUAL_MS)))
    };
    let mut states: Vec<Host> = (0..hosts)
        .map(|host| Host { decision, turn: turn(host), avoided_until: 0, reported: 0 })
        .collect();
    for host in &mut states {
        host.decision.fail(Cause::Refused, 0, host.turn, 0);
        host.avoided_until = AVOIDED_MS[0];
    }
    let mut requests: Vec<Request> = Vec::new();
    let mut arrivals: Vec<u64> = Vec::new();
    let mut outcome = Outcome::default();
    for now in (0..duration_ms).step_by(TICK_MS) {
        progress(&mut requests, &mut states, &mut outcome, now);
        if answer(now, count(&requests, |_| true), 0) == Answer::Crash {
            crash(&mut requests, &mut states, &mut outcome, now);
        }
        if now % REPORT_MS == 0 {
            for (index, host) in states.iter_mut().enumerate() {
                host.reported = count(&requests, |request| request.host == index);
            }
        }
        let mut burst = 0;
        for index in 0..hosts {
            let own = count(&requests, |request| request.host == index);
            let reported: u32 = states.iter().map(|host| host.reported).sum();
            let running = Running { own, others: reported - states[index].reported };
            let host = &mut states[index];
            let allowed =
                if now < host.avoided_until { 0 } else { host.decision.allowed(running, now) };
            let free = match host.decision {
                Decision::Baseline(_) => SLOTS.saturating_sub(own),
                Decision::Learned(_) => SLOTS.saturating_sub(own + running.others),
            };
            let mut has_crashed = false;
            for _ in 0..allowed.min(free) {
                burst += 1;
                host.decision.start();
                arrivals.retain(|arrival| now - arrival < 100);
                arrivals.push(now);
                let recent = u32::try_from(arrivals.len()).unwrap();
                let in_progress = count(&requests, |_| true);
                let full = in_progress >= SLOTS + QUEUE;
                let answer = if full { Answer::Refuse } else { answer(now, in_progress, recent) };
                let first_event = match answer {
                    // A request behind the slots waits for one.
                    Answer::Accept(_) if in_progress >= SLOTS => Some(now + ITEM_MS),
                    Answer::Accept(delay) => Some(now + delay),
                    Answer::Ignore => None,
                    Answer::Refuse => {
                        outcome.refused += 1;
                        host.avoided_until = now + AVOIDED_MS[0];
                        host.decision.fail(Cause::Refused, own, host.turn, now);
                        continue;
                    }
                    Answer::Crash => {
                        outcome.broken += 1;
                        has_crashed = true;
                        break;
                    }
                };
                host.decision.accept();
                requests.push(Request { host: index, sent: now, first_event, begun: false });
            }
            if has_crashed {
                crash(&mut requests, &mut states, &mut outcome, now);
            }
        }
        outcome.burst = outcome.burst.max(burst);
        if count(&requests, |request| request.begun) >= SLOTS {
            outcome.full_at.get_or_insert(now);
        }
    }
    outcome
}

fn count(requests: &[Request], condition: impl Fn(&Request) -> bool) -> u32 {
    u32::try_from(requests.iter().filter(|request| condition(request)).count()).unwrap()
}

/// Ends the requests that are complete or silent, and reports first events.
fn progress(requests: &mut Vec<Request>, hosts: &mut [Host], outcome: &mut Outcome, now: u64) {
    let mut ended = Vec::new();
    for (index, request) in requests.iter_mut().enumerate() {
        let host = &mut hosts[request.host];
        match request.first_event {
            Some(due) if now >= due && !request.begun => {
                request.begun = true;
                host.decision.respond(request.sent, now);
            }
            Some(due) if now >= due + ITEM_MS => ended.push((index, true)),
            None if now - request.sent >= host.decision.silence_ms() => ended.push((index, false)),
            _ => {}
        }
    }
    for (index, is_complete) in ended.into_iter().rev() {
        let request = requests.remove(index);
        let own = count(requests, |other| other.host == request.host);
        let host = &mut hosts[request.host];
        host.decision.end(own);
        if is_complete {
            outcome.completed += 1;
        } else {
            outcome.broken += 1;
            host.avoided_until = now + AVOIDED_MS[1];
            host.decision.fail(Cause::Broken, own, host.turn, now);
        }
    }
}

/// Breaks all requests in progress.
fn crash(requests: &mut Vec<Request>, hosts: &mut [Host], outcome: &mut Outcome, now: u64) {
    for request in requests.drain(..) {
        let host = &mut hosts[request.host];
        outcome.broken += 1;
        host.decision.end(0);
        host.decision.fail(Cause::Broken, 0, host.turn, now);
        host.avoided_until = now + AVOIDED_MS[1];
    }
}
