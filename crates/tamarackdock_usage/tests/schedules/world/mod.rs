mod faults;

use std::{collections::BTreeMap, time::Duration};

use proptest::{prop_assert, prop_assert_eq, test_runner::TestCaseError};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tamarackdock_platform::Error;
use tamarackdock_types::{AccountName, HostName, clock::Instant, fence::Epoch};
use tamarackdock_usage::{
    Action, Batch, Copies, Counter, Input, NodeRun, Report, Reporter, Settings, UsageTotals,
};

use crate::store::Store;

const NODES: usize = 3;
const WINDOW: u64 = 2_000;
const COUNTS_END: u64 = 8_000;
const FAULTS_END: u64 = 9_000;
const END: u64 = 17_000;
/// Milliseconds after which the platform client reports an unknown outcome.
const TIMEOUT: u64 = 800;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Actor {
    Counter(usize, u64),
    Copies(usize, u64),
    Reporter(usize),
}

#[derive(Clone)]
enum Event {
    Input(Actor, Input),
    Wake(Actor),
    Request(Actor, Action),
    Copy { to: usize, origin: NodeRun, batches: Vec<Batch>, covered: u64 },
    Dead { to: usize, origin: NodeRun },
    Count,
    Fault,
}

struct Node {
    origin: NodeRun,
    counter: Counter,
    copies: Copies,
    paused_until: u64,
    /// Number of calls counted by this run.
    counted: u64,
    /// Number of these calls of which the peer has or had a copy.
    covered: u64,
}

pub(crate) struct World {
    random: StdRng,
    time: u64,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    timers: BTreeMap<Actor, u64>,
    nodes: Vec<Node>,
    reporters: Vec<Reporter>,
    store: Store,
    counted: BTreeMap<(u64, AccountName), UsageTotals>,
    /// Number of calls whose counts may be lost because their node was killed.
    losable: u64,
    kills: u64,
}

fn settings() -> Settings {
    let millis = Duration::from_millis;
    Settings { copy: millis(200), flush: millis(1000), retry: millis(300) }
}

fn node(index: usize, run: u64, time: u64) -> Node {
    let host = HostName::new(&format!("h{index}")).unwrap();
    let origin = NodeRun { shard: 1, host, run };
    let now = Instant::from_millis(time);
    let counter = Counter::new(origin.clone(), settings(), time / WINDOW, now);
    let copies = Copies::new(settings(), run << 32);
    Node { origin, counter, copies, paused_until: 0, counted: 0, covered: 0 }
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed),
            time: 0,
            queue: BTreeMap::new(),
            queued: 0,
            timers: BTreeMap::new(),
            nodes: (0..NODES).map(|index| node(index, 0, 0)).collect(),
            reporters: Vec::new(),
            store: Store::default(),
            counted: BTreeMap::new(),
            losable: 0,
            kills: 0,
        }
    }

    /// Returns the numbers of reports, repeated reports, corrections and kills, and whether no
    /// count could be lost.
    pub(crate) fn run(mut self) -> Result<[u64; 5], TestCaseError> {
        (0..NODES).for_each(|index| self.start(index));
        self.add_reporter();
        self.push(0, Event::Count);
        self.push(500, Event::Fault);
        while let Some(((time, _), event)) = self.queue.pop_first() {
            if time > END {
                break;
            }
            self.time = time;
            self.handle(event)?;
        }
        self.check()
    }

    fn check(&self) -> Result<[u64; 5], TestCaseError> {
        let mut sums: BTreeMap<_, UsageTotals> = BTreeMap::new();
        let mut corrections = 0;
        for (number, bytes) in &self.store.reports {
            let report: Report = serde_json::from_slice(bytes).unwrap();
            prop_assert_eq!((report.window * 2 + 1, report.shard), (*number, 1));
            for line in report.lines {
                corrections += u64::from(line.correction_of.is_some());
                let window = line.correction_of.unwrap_or(report.window);
                *sums.entry((window, line.account)).or_default() += line.figures;
            }
        }
        let mut missing = 0;
        for (key, totals) in &self.counted {
            let reported = sums.remove(key).unwrap_or_default();
            prop_assert!(reported.calls <= totals.calls, "{key:?} counted twice");
            prop_assert_eq!(reported.tokens, reported.calls * 7);
            missing += totals.calls - reported.calls;
        }
        prop_assert!(sums.is_empty(), "figures that nobody counted: {sums:?}");
        prop_assert!(missing <= self.losable, "{missing} lost, at most {}", self.losable);
        let reports = self.store.reports.len() as u64;
        prop_assert!(reports >= COUNTS_END / WINDOW);
        Ok([reports, self.store.repeated, corrections, self.kills, u64::from(self.losable == 0)])
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.queued += 1;
        self.queue.insert((self.time + delay, self.queued), event);
    }

    fn start(&mut self, index: usize) {
        let run = self.nodes[index].origin.run;
        self.push(0, Event::Input(Actor::Counter(index, run), Input::Tick));
        self.push(0, Event::Input(Actor::Copies(index, run), Input::Tick));
    }

    /// Starts a new epoch with a new reporter. The previous reporters go on, as if they never
    /// checked the lease again.
    fn add_reporter(&mut self) {
        let epoch = Epoch(self.reporters.len() as u64 + 1);
        let fence = self.store.put("epoch/usage/1", Some(epoch.to_string()), "");
        self.reporters.push(Reporter::new((1, 2), (epoch, fence), settings(), 0));
        self.push(0, Event::Input(Actor::Reporter(self.reporters.len() - 1), Input::Tick));
    }

    fn handle(&mut self, event: Event) -> Result<(), TestCaseError> {
        match event {
            Event::Input(Actor::Counter(index, run) | Actor::Copies(index, run), _)
                if self.nodes[index].origin.run != run => {}
            Event::Input(Actor::Counter(index, _) | Actor::Copies(index, _), _)
                if self.nodes[index].paused_until > self.time =>
            {
                self.push(self.nodes[index].paused_until - self.time, event);
            }
            Event::Input(actor, input) => self.step(actor, input),
            Event::Wake(actor) if self.timers.get(&actor) == Some(&self.time) => {
                self.push(0, Event::Input(actor, Input::Tick));
            }
            // A later timer has replaced this one.
            Event::Wake(_) => {}
            Event::Request(actor, action) => self.serve(actor, action)?,
            Event::Copy { to, origin, batches, covered } => {
                let from = &mut self.nodes[(to + NODES - 1) % NODES];
                if from.origin == origin {
                    from.covered = from.covered.max(covered);
                }
                self.nodes[to].copies.keep(origin, batches);
            }
            Event::Dead { to, origin } => {
                self.nodes[to].copies.on_death(&origin);
                let run = self.nodes[to].origin.run;
                self.push(0, Event::Input(Actor::Copies(to, run), Input::Tick));
            }
            Event::Count => self.count(),
            Event::Fault => self.fault(),
        }
        Ok(())
    }

    fn step(&mut self, actor: Actor, input: Input) {
        let now = Instant::from_millis(self.time);
        let window = self.time / WINDOW;
        let actions = match actor {
            Actor::Counter(index, _) => {
                self.nodes[index].counter.set_window(window);
                self.nodes[index].counter.step(now, input)
            }
            Actor::Copies(index, _) => self.nodes[index].copies.step(now, window, input),
            Actor::Reporter(index) => {
                self.reporters[index].set_closable(window);
                self.reporters[index].step(now, input)
            }
        };
        for action in actions {
            self.act(actor, action);
        }
    }

    fn act(&mut self, actor: Actor, action: Action) {
        let lost = match &action {
            Action::Read { request, .. } | Action::Scan { request, .. } => {
                Input::Rows { request: *request, result: Err(Error::Unknown) }
            }
            Action::Commit { request, .. } | Action::Report { request, .. } => {
                Input::Done { request: *request, result: Err(Error::Unknown) }
            }
            Action::Wake(at) => {
                let delay = at.as_millis().saturating_sub(self.time).max(1);
                self.timers.insert(actor, self.time + delay);
                return self.push(delay, Event::Wake(actor));
            }
            Action::Copy { origin, batches } => return self.copy(actor, origin, batches),
            Action::Stopped => return,
        };
        self.push(TIMEOUT, Event::Input(actor, lost));
        let delay = self.delay();
        if !self.fails(0.03) {
            self.push(delay, Event::Request(actor, action));
        }
    }

    fn copy(&mut self, actor: Actor, origin: &NodeRun, batches: &[Batch]) {
        let Actor::Counter(index, _) = actor else { return };
        let (origin, batches) = (origin.clone(), batches.to_vec());
        let to = (index + 1) % NODES;
        let covered = self.nodes[index].counted;
        let delay = self.delay();
        if !self.fails(0.1) {
            self.push(delay, Event::Copy { to, origin, batches, covered });
        }
    }

    /// Serves a request. While the store is down, a commit may still take effect,
    /// but no response is sent.
    fn serve(&mut self, actor: Actor, action: Action) -> Result<(), TestCaseError> {
        let down = self.store.down_until > self.time;
        let input = match action {
            Action::Read { request, keys } => {
                let rows = self.store.scan(|key| keys.iter().any(|wanted| wanted == key));
                Input::Rows { request, result: Ok(rows) }
            }
            Action::Scan { request, prefix } => {
                let rows = self.store.scan(|key| key.starts_with(&prefix));
                Input::Rows { request, result: Ok(rows) }
            }
            Action::Commit { request, commit } if !down || self.fails(0.5) => {
                Input::Done { request, result: self.store.commit(&commit) }
            }
            Action::Report { request, report, bytes } => {
                let result = self.store.report(report, &bytes);
                prop_assert!(result.is_ok(), "report {report} sent with other figures");
                Input::Done { request, result }
            }
            _ => return Ok(()),
        };
        let delay = self.delay();
        if !down && !self.fails(0.05) {
            self.push(delay, Event::Input(actor, input));
        }
        Ok(())
    }

    fn delay(&mut self) -> u64 {
        let bound = if self.fails(0.03) { 4_000 } else { 40 };
        self.random.random_range(0..bound)
    }

    fn fails(&mut self, probability: f64) -> bool {
        self.time < FAULTS_END && self.random.random_bool(probability)
    }
}
