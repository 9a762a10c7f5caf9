use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use tamarackdock_types::{HostName, TargetName, clock::Instant};

use super::{Grant, Granter, Holder, Phase, Ramp, Request, Timing, granter};

const SEED: [u8; 32] = [42; 32];
const SCHEDULES: u32 = 1_500;
const NODES: usize = 5;
const CAPACITY: u32 = 6;
const STEP_MS: u64 = 20;
const STEPS: usize = 400;

enum Message {
    Request(Request),
    Grant(Grant),
}

struct Node {
    host: HostName,
    /// Arbitrary, since nothing bounds the difference of two clocks.
    clock_offset_ms: u64,
    granter: Granter,
    holder: Holder,
    view: Vec<bool>,
    view_until_ms: u64,
    isolated_until_ms: u64,
}

struct Sent {
    at_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

/// The random choices of a schedule. The numbers are drawn in order and start
/// again at the end of the list.
struct Choices(Vec<u16>, usize);

impl Choices {
    fn next(&mut self, bound: u64) -> u64 {
        self.1 += 1;
        let value = u64::from(self.0[self.1 % self.0.len()]);
        (value.wrapping_mul(0x9e37) ^ (self.1 as u64).wrapping_mul(0x5bd1)) % bound
    }
}

fn timing() -> Timing {
    Timing {
        validity: Duration::from_millis(300),
        view_lag: Duration::from_millis(400),
        margin: Duration::from_millis(STEP_MS),
    }
}

fn node(index: usize, choices: &mut Choices) -> Node {
    Node {
        host: HostName::new(&format!("h{index}")).expect("a valid name"),
        clock_offset_ms: choices.next(1_000_000),
        granter: Granter::new(CAPACITY, timing()),
        holder: Holder::new(timing(), choices.next(1 << 20) << 20),
        view: vec![true; NODES],
        view_until_ms: 0,
        isolated_until_ms: 0,
    }
}

/// Runs one schedule and returns how many steps saw credits in force.
fn run(choices: &mut Choices) -> Result<u32, TestCaseError> {
    let target = TargetName::new("t1").expect("a valid name");
    let mut nodes: Vec<Node> = (0..NODES).map(|index| node(index, choices)).collect();
    let mut live = vec![true; NODES];
    let mut network: Vec<Sent> = Vec::new();
    let mut steps_with_credits = 0;
    for step in 0..STEPS {
        let now_ms = step as u64 * STEP_MS;
        if choices.next(60) == 0 {
            let index = usize::try_from(choices.next(NODES as u64)).expect("small");
            live[index] = !live[index];
            if live[index] {
                // A restarted node has lost its state, and its calls were aborted.
                nodes[index] = node(index, choices);
                nodes[index].view.clone_from(&live);
            }
        }
        for index in (0..NODES).filter(|index| live[*index]) {
            let node = &mut nodes[index];
            let now = Instant::from_millis(now_ms + node.clock_offset_ms);
            // The view follows the live nodes with any lag below `view_lag`, so that it
            // may miss a short change altogether. An isolated node has no confirmed view,
            // but its messages are delivered.
            let is_isolated = now_ms < node.isolated_until_ms;
            if choices.next(200) == 0 {
                node.isolated_until_ms = now_ms + choices.next(3000);
            }
            let stale = node.view != live;
            if is_isolated {
                node.view_until_ms = now_ms;
            } else if !stale || now_ms >= node.view_until_ms || choices.next(8) == 0 {
                node.view.clone_from(&live);
                node.view_until_ms = now_ms + 380;
            }
            let view: Vec<HostName> = (0..NODES)
                .filter(|other| node.view[*other])
                .map(|other| HostName::new(&format!("h{other}")).expect("a valid name"))
                .collect();
            let chosen = granter(&target, &view).expect("a live node").clone();
            if !is_isolated {
                node.granter.confirm(chosen == node.host, now);
            }
            node.holder.expire(now);
            if choices.next(3) == 0 {
                let wanted = u32::try_from(choices.next(5)).expect("small");
                let request = node.holder.ask(wanted, now);
                let to = host_index(&chosen);
                send(&mut network, choices, now_ms, index, to, &|| Message::Request(request));
            }
        }
        let (due, rest): (Vec<Sent>, _) = network.into_iter().partition(|m| m.at_ms <= now_ms);
        network = rest;
        for sent in due.into_iter().filter(|sent| live[sent.to]) {
            let node = &mut nodes[sent.to];
            let now = Instant::from_millis(now_ms + node.clock_offset_ms);
            match sent.message {
                Message::Grant(grant) => node.holder.accept(grant, now),
                Message::Request(request) => {
                    let holder = HostName::new(&format!("h{}", sent.from)).expect("a valid name");
                    if let Some(grant) = node.granter.request(&holder, request, now) {
                        let (from, to) = (sent.to, sent.from);
                        send(&mut network, choices, now_ms, from, to, &|| Message::Grant(grant));
                    }
                }
            }
        }
        let in_force = (0..NODES).filter(|index| live[*index]).map(|index| {
            let node = &nodes[index];
            node.holder.in_force(Instant::from_millis(now_ms + node.clock_offset_ms))
        });
        let sum: u32 = in_force.sum();
        prop_assert!(sum <= CAPACITY, "{sum} credits in force at {now_ms} ms");
        steps_with_credits += u32::from(sum > 0);
    }
    Ok(steps_with_credits)
}

fn host_index(host: &HostName) -> usize {
    host.as_str()[1..].parse().expect("a number")
}

/// Sends a message once, twice or not at all, each copy with its own delay.
fn send(
    network: &mut Vec<Sent>,
    choices: &mut Choices,
    now_ms: u64,
    from: usize,
    to: usize,
    message: &dyn Fn() -> Message,
) {
    let copies = [0, 1, 1, 1, 2][usize::try_from(choices.next(5)).expect("small")];
    for _ in 0..copies {
        let delay = if choices.next(6) == 0 { choices.next(1000) } else { choices.next(60) };
        network.push(Sent { at_ms: now_ms + STEP_MS + delay, from, to, message: message() });
    }
}

/// Guards against the overload of a cold target. After restarts of nodes, changes
/// of the granter, and lost, repeated or late messages, nodes could hold more
/// credits in sum than the target's cold capacity.
#[test]
fn credits_in_force_never_exceed_the_cold_capacity() {
    println!("seed {SEED:?}, {SCHEDULES} schedules of {STEPS} steps");
    let config = Config { failure_persistence: None, ..Config::with_cases(SCHEDULES) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps_with_credits = std::cell::Cell::new(0);
    let strategy = proptest::collection::vec(any::<u16>(), 64..512);
    let outcome = runner.run(&strategy, |choices| {
        steps_with_credits.set(steps_with_credits.get() + run(&mut Choices(choices, 0))?);
        Ok(())
    });
    outcome.unwrap_or_else(|error| panic!("{error}"));
    let steps = SCHEDULES * u32::try_from(STEPS).expect("small");
    println!("credits in force in {} of {steps} steps", steps_with_credits.get());
    assert!(steps_with_credits.get() > steps / 10, "credits are hardly ever granted");
}

/// Guards against a target that gets its full load before it is warm, because
/// slow or failed calls don't lower its limit.
#[test]
fn ramp_follows_latency() {
    let mut ramp = Ramp::new(2, 16, Duration::from_millis(50));
    let good = Some(Duration::from_millis(90));
    for limit in [2, 2, 2, 4, 4, 4, 4, 8] {
        assert_eq!(ramp.observe(good), Phase::Cold { limit });
    }
    assert_eq!(ramp.observe(Some(Duration::from_millis(101))), Phase::Cold { limit: 2 });
    assert_eq!(ramp.observe(None), Phase::Cold { limit: 2 });
    let last = (0..12).map(|_| ramp.observe(good)).last();
    assert_eq!(last, Some(Phase::Warm));
}
