use std::time::Duration;

use tamarackdock_config::{
    Deployment,
    accept::{self, Event, Head, Submission},
    propagate::{self, Message, POLL_INTERVAL, Propagation},
    reachability::{Answer, Reachability},
    version::{Snapshot, VersionNumber},
};
use tamarackdock_types::{DataCentreName, HostName, clock::Instant};

use super::{
    SubmissionResult,
    store::{Request, Response},
};

pub(crate) const DATA_CENTRES: usize = 3;
pub(crate) const NODES: usize = 6;

pub(crate) const fn data_centre_index(node: usize) -> usize {
    node % DATA_CENTRES
}

pub(crate) fn host(node: usize) -> HostName {
    HostName::new(&format!("h{node}")).unwrap()
}

fn data_centre(node: usize) -> DataCentreName {
    DataCentreName::new(&format!("d{}", data_centre_index(node))).unwrap()
}

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Packet {
    Config(Message),
    Ask(Instant),
    Answer(Answer),
}

#[derive(Debug)]
pub(crate) enum Output {
    Send { to: usize, packet: Packet },
    Store { id: u64, request: Request },
    Wait { id: u64, span: Duration },
    Done { operation: u64, result: SubmissionResult },
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) run: u32,
    pub(crate) propagation: Propagation,
    pub(crate) reachability: Reachability,
    pub(crate) submission: Option<(u64, Submission)>,
    /// Highest version that was active in this run.
    pub(crate) highest: VersionNumber,
    head: Head,
    next: u64,
    awaited: u64,
}

impl Node {
    pub(crate) fn new(index: usize, run: u32, now: u64, random: u64) -> Self {
        let poll = u64::try_from(POLL_INTERVAL.as_millis()).unwrap();
        let phase = Duration::from_millis(random % poll);
        let now = Instant::from_millis(now);
        let mut propagation = Propagation::new(host(index), now, phase);
        propagation.set_peers((0..NODES).map(host));
        let mut reachability = Reachability::new(data_centre(index));
        let others = (0..NODES).filter(|other| *other != index);
        reachability.set_hosts(others.map(|other| (host(other), data_centre(other))));
        let (submission, highest, head) = (None, VersionNumber(0), Head::empty());
        Self { run, propagation, reachability, submission, highest, head, next: 0, awaited: 0 }
    }

    /// Returns whether a commit may be in progress. Such a node is not restarted: its report of
    /// an unknown result would be lost, which the cut-off rule does not cover.
    pub(crate) fn may_commit(&self, now: Instant) -> bool {
        self.submission.is_some() || self.reachability.has_unsettled_commit(now)
    }

    pub(crate) fn set_live(&mut self, now: Instant, live: &[usize]) {
        self.reachability.set_live(now, live.iter().map(|node| host(*node)));
    }

    pub(crate) fn tick(&mut self, now: Instant, random: u64) -> Vec<Output> {
        let queries = self.reachability.tick(now, random).into_iter();
        let mut outputs: Vec<_> = queries
            .map(|query| Output::Send { to: index(&query.to), packet: Packet::Ask(query.sent) })
            .collect();
        let actions = self.propagation.tick(now, random);
        outputs.extend(self.translate(actions));
        outputs
    }

    pub(crate) fn receive(&mut self, now: Instant, from: usize, packet: Packet) -> Vec<Output> {
        match packet {
            Packet::Config(message) => {
                let actions = self.propagation.receive(&host(from), message);
                self.translate(actions)
            }
            Packet::Ask(sent) => {
                let packet = Packet::Answer(self.reachability.answer_query(now, sent));
                vec![Output::Send { to: from, packet }]
            }
            Packet::Answer(answer) => {
                self.reachability.on_answer(&host(from), answer);
                Vec::new()
            }
        }
    }

    pub(crate) fn submit(
        &mut self,
        operation: u64,
        base: Snapshot,
        deployment: Deployment,
        deadline: Instant,
    ) -> Output {
        let name = format!("op{operation}");
        let origin = self.propagation_host();
        let submission = Submission::new(&name, origin, base, deployment, deadline);
        let action = submission.start();
        self.submission = Some((operation, submission));
        self.accept(action).remove(0)
    }

    fn propagation_host(&self) -> HostName {
        self.propagation.host().clone()
    }

    /// Handles a response of the store.
    pub(crate) fn reply(
        &mut self,
        now: Instant,
        id: u64,
        sent: Instant,
        response: Response,
        random: u64,
    ) -> Vec<Output> {
        let actions = match response {
            Response::Head(head) => {
                self.reachability.on_head(sent, head.number);
                self.head = head;
                self.propagation.on_head(&self.head)
            }
            Response::Deltas(head, deltas) => self.propagation.on_deltas(&head, deltas),
            Response::Copy(head, copy) => self.propagation.on_copy(&head, copy.as_deref(), random),
            Response::Read(rows) => return self.resume(now, id, Event::Read(rows)),
            Response::Stored => return self.resume(now, id, Event::Stored),
            Response::Refused => return self.resume(now, id, Event::Refused),
            Response::Committed => {
                let number = self.submission.as_ref().map(|(_, s)| s.snapshot().number());
                let awaited = id == self.awaited;
                let outputs = self.resume(now, id, Event::Committed);
                if let Some(number) = number.filter(|_| awaited) {
                    self.reachability.on_head(sent, number);
                }
                return outputs;
            }
        };
        self.translate(actions)
    }

    /// Passes an event to the submission if it still waits for it.
    pub(crate) fn resume(&mut self, now: Instant, id: u64, event: Event) -> Vec<Output> {
        if id != self.awaited {
            return Vec::new();
        }
        let Some((_, submission)) = &mut self.submission else { return Vec::new() };
        let action = submission.handle(now, event);
        self.reachability
            .set_unsettled(&submission.delta().operation, submission.unsettled_until());
        self.accept(action)
    }

    fn accept(&mut self, action: accept::Action) -> Vec<Output> {
        self.next += 1;
        self.awaited = self.next;
        let id = self.awaited;
        let request = match action {
            accept::Action::Read(keys) => Request::Read(keys),
            accept::Action::Put { name, bytes } => Request::Put { name, bytes },
            accept::Action::Commit { conditions, writes, .. } => {
                let (_, submission) = self.submission.as_ref().unwrap();
                let operation = &submission.delta().operation;
                self.reachability.set_unsettled(operation, submission.unsettled_until());
                Request::Commit { conditions, writes }
            }
            accept::Action::Wait(span) => return vec![Output::Wait { id, span }],
            accept::Action::Done(result) => return self.finish(result),
        };
        vec![Output::Store { id, request }]
    }

    fn finish(&mut self, result: SubmissionResult) -> Vec<Output> {
        let (operation, submission) = self.submission.take().unwrap();
        let actions = match result {
            Ok(_) => {
                self.propagation.on_accepted(submission.snapshot(), submission.delta().clone())
            }
            Err(_) => Vec::new(),
        };
        let mut outputs = self.translate(actions);
        outputs.push(Output::Done { operation, result });
        outputs
    }

    fn translate(&mut self, actions: Vec<propagate::Action>) -> Vec<Output> {
        let mut outputs = Vec::new();
        for action in actions {
            let request = match action {
                propagate::Action::ReadHead => Request::Head,
                propagate::Action::ReadDeltas { after, .. } => {
                    Request::Deltas { head: self.head.clone(), after }
                }
                propagate::Action::ReadCopy { .. } => Request::Copy(self.head.clone()),
                propagate::Action::Send { to, message } => {
                    let packet = Packet::Config(message);
                    outputs.push(Output::Send { to: index(&to), packet });
                    continue;
                }
                propagate::Action::Activate(snapshot) => {
                    let number = snapshot.number();
                    assert!(number >= self.highest, "{number} after {}", self.highest);
                    self.highest = number;
                    self.reachability.on_activated(number);
                    continue;
                }
            };
            self.next += 1;
            outputs.push(Output::Store { id: self.next, request });
        }
        outputs
    }
}

fn index(name: &HostName) -> usize {
    name.as_str()[1..].parse().unwrap()
}
