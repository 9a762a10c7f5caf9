use std::time::Duration;

use tamarackdock_types::clock::Instant;

use super::{
    Exhausted, Ledger, Limits, Phase,
    ledger::{Closing, Id, Reason},
};
use crate::http::Budget;

const CONNECTIONS: usize = 3;
const REQUEST_BYTES: usize = 1000;
const RESPONSE_BYTES: usize = 500;
const MB: usize = 1024 * 1024;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ledger() -> (Ledger, Budget) {
    let limits = Limits { connections: CONNECTIONS, response_bytes: RESPONSE_BYTES };
    let requests = Budget::new(REQUEST_BYTES);
    (Ledger::new(limits, requests.clone()), requests)
}

/// Opens a connection that no other one has to give way to.
fn open(ledger: &mut Ledger, millis: u64) -> Id {
    let (id, closed) = ledger.open(at(millis)).unwrap();
    assert_eq!(closed, None);
    id
}

fn receive(
    ledger: &mut Ledger,
    id: Id,
    phase: Phase,
    bytes: usize,
    millis: u64,
) -> (Result<(), Exhausted>, Vec<Closing>) {
    let mut closed = Vec::new();
    let result = ledger.receive(id, phase, bytes, at(millis), &mut closed);
    (result, closed)
}

fn send(ledger: &mut Ledger, id: Id, bytes: usize, millis: u64) -> Vec<Closing> {
    let mut closed = Vec::new();
    ledger.send(id, bytes, at(millis), &mut closed);
    closed
}

fn closing(id: Id, reason: Reason, phase: Phase, waited_ms: u64) -> Closing {
    Closing { id, reason, phase, waited: Duration::from_millis(waited_ms) }
}

/// Guards against idle connections that keep others out, and against the close of one that has a
/// request in progress.
#[test]
fn the_longest_idle_connection_gives_way() {
    let (mut ledger, _) = ledger();
    let running = open(&mut ledger, 0);
    let idle = open(&mut ledger, 10);
    let later = open(&mut ledger, 20);
    assert_eq!(receive(&mut ledger, running, Phase::Running, 5, 30), (Ok(()), vec![]));
    let (_, closed) = ledger.open(at(40)).unwrap();
    assert_eq!(closed, Some(closing(idle, Reason::Connections, Phase::Idle, 30)));
    // Its task has not run yet, and it is not counted.
    let (_, closed) = ledger.open(at(50)).unwrap();
    assert_eq!(closed, Some(closing(later, Reason::Connections, Phase::Idle, 30)));
    ledger.close(idle);
    ledger.close(later);
    assert_eq!(ledger.connections(), CONNECTIONS);
}

/// Guards against a decision to close a connection that has requests to run, and against slow
/// heads that keep new connections out.
#[test]
fn connections_in_use_keep_new_ones_out() {
    let (mut ledger, _) = ledger();
    let ids = [0; CONNECTIONS].map(|_| open(&mut ledger, 0));
    for id in ids {
        assert_eq!(receive(&mut ledger, id, Phase::Head, 5, 100), (Ok(()), vec![]));
    }
    assert_eq!(ledger.open(at(599)), None);
    let (_, closed) = ledger.open(at(600)).unwrap();
    assert_eq!(closed, Some(closing(ids[0], Reason::Connections, Phase::Head, 500)));
}

/// Guards against memory without a bound for requests, and against a crowd of slow ones that
/// blocks all others.
#[test]
fn slow_requests_give_way_when_memory_is_used_up() {
    let (mut ledger, _) = ledger();
    let head = open(&mut ledger, 0);
    let body = open(&mut ledger, 0);
    let late = open(&mut ledger, 0);
    assert_eq!(receive(&mut ledger, head, Phase::Head, 400, 0), (Ok(()), vec![]));
    assert_eq!(receive(&mut ledger, body, Phase::Body, 600, 0), (Ok(()), vec![]));
    assert_eq!(receive(&mut ledger, late, Phase::Head, 300, 499), (Err(Exhausted), vec![]));
    let (result, closed) = receive(&mut ledger, late, Phase::Head, 300, 999);
    assert_eq!(result, Ok(()));
    assert_eq!(closed, [closing(head, Reason::RequestMemory, Phase::Head, 999)]);
    // The earlier request does not take the memory of a later one.
    assert_eq!(receive(&mut ledger, body, Phase::Body, 800, 9_999), (Err(Exhausted), vec![]));
    let (result, closed) = receive(&mut ledger, late, Phase::Head, 900, 5_000);
    assert_eq!(result, Ok(()));
    assert_eq!(closed, [closing(body, Reason::RequestMemory, Phase::Body, 5_000)]);
    assert_eq!(ledger.bytes(), (900, 0));
}

/// Guards against a request in progress that is ended to make room.
#[test]
fn running_requests_keep_their_memory() {
    let (mut ledger, requests) = ledger();
    let running = open(&mut ledger, 0);
    let late = open(&mut ledger, 0);
    assert_eq!(receive(&mut ledger, running, Phase::Running, 900, 0), (Ok(()), vec![]));
    assert_eq!(receive(&mut ledger, late, Phase::Head, 101, 99_999), (Err(Exhausted), vec![]));
    assert_eq!(receive(&mut ledger, late, Phase::Head, 100, 99_999), (Ok(()), vec![]));
    ledger.idle(running, 0, at(100_000));
    ledger.close(late);
    assert_eq!(ledger.bytes(), (0, 0));
    assert!(requests.take(REQUEST_BYTES));
}

/// Guards against responses without a bound that no client reads. The one that has waited longest
/// since its client last accepted bytes is closed first.
#[test]
fn the_longest_unread_response_gives_way() {
    let (mut ledger, _) = ledger();
    let [first, second, third] = [0; CONNECTIONS].map(|_| open(&mut ledger, 0));
    assert_eq!(send(&mut ledger, first, 200, 10), []);
    assert_eq!(send(&mut ledger, second, 200, 20), []);
    // The client of the first one reads slowly.
    assert_eq!(send(&mut ledger, first, 200, 30), []);
    let closed = send(&mut ledger, third, 200, 40);
    assert_eq!(closed, [closing(second, Reason::ResponseMemory, Phase::Sending, 20)]);
    // A single response that is larger than all memory for them is still sent.
    let closed = send(&mut ledger, third, 2 * RESPONSE_BYTES, 50);
    assert_eq!(closed, [closing(first, Reason::ResponseMemory, Phase::Sending, 20)]);
    assert_eq!(ledger.bytes(), (0, 2 * RESPONSE_BYTES));
    ledger.sent(third);
    assert_eq!(ledger.bytes(), (0, 0));
}

/// Guards against memory that is released twice, or not at all, when a connection is closed by a
/// decision while its task goes on.
#[test]
fn closed_connections_change_nothing_more() {
    let (mut ledger, requests) = ledger();
    let id = open(&mut ledger, 0);
    assert_eq!(receive(&mut ledger, id, Phase::Running, 700, 0), (Ok(()), vec![]));
    assert_eq!(send(&mut ledger, id, 300, 0), []);
    let expired = closing(id, Reason::Unread, Phase::Sending, 30_000);
    assert_eq!(ledger.expire(id, at(30_000)), Some(expired));
    assert_eq!(ledger.expire(id, at(30_000)), None);
    assert_eq!(receive(&mut ledger, id, Phase::Head, 1, 30_000), (Err(Exhausted), vec![]));
    assert_eq!(send(&mut ledger, id, 300, 30_000), []);
    ledger.add(id, 10);
    ledger.sent(id);
    ledger.idle(id, 10, at(30_000));
    assert_eq!(ledger.bytes(), (0, 0));
    ledger.close(id);
    ledger.close(id);
    assert_eq!(ledger.connections(), 0);
    assert!(requests.take(REQUEST_BYTES));
}

/// Guards against a connection that reads ahead while others need the memory, and against one that
/// does not notice that its client has gone.
#[test]
fn connections_read_ahead_while_there_is_memory() {
    let (mut ledger, _) = ledger();
    let id = open(&mut ledger, 0);
    assert_eq!(receive(&mut ledger, id, Phase::Running, 400, 0), (Ok(()), vec![]));
    assert!(ledger.may_read_ahead(0) && ledger.may_read_ahead(100));
    assert!(!ledger.may_read_ahead(64 * 1024));
    ledger.add(id, 200);
    assert!(ledger.may_read_ahead(0) && !ledger.may_read_ahead(200));
}

/// Guards against limits that a host of the smallest size reaches without a crowd, and against
/// callers that take the descriptors of other uses.
#[test]
fn limits_follow_the_host() {
    let smallest = Limits::of_process(120 * MB, 3_075);
    assert_eq!(smallest, Limits { connections: 1_437, response_bytes: 12 * MB });
    assert_eq!(Limits::of_process(512 * MB, 600).connections, 200);
    assert_eq!(Limits::of_process(48 * MB, usize::MAX).connections, 614);
    assert_eq!(Limits::of_process(MB, 0).connections, 16);
}

/// Guards against further messages that are received, and connections that are accepted, before
/// those that were closed for them have released what they hold.
#[test]
fn closed_connections_count_until_they_are_released() {
    let (mut ledger, _) = ledger();
    let [first, second, third] = [0; CONNECTIONS].map(|_| open(&mut ledger, 0));
    assert_eq!(send(&mut ledger, first, RESPONSE_BYTES, 0), []);
    assert!(!ledger.is_releasing() && !ledger.is_closing_many());
    let closed = send(&mut ledger, second, RESPONSE_BYTES, 1);
    assert_eq!(closed, [closing(first, Reason::ResponseMemory, Phase::Sending, 1)]);
    assert!(ledger.is_releasing() && ledger.is_closing_many());
    ledger.release(first);
    assert!(!ledger.is_releasing() && ledger.is_closing_many());
    ledger.close(first);
    assert!(!ledger.is_closing_many());
    // One that is not about to be closed keeps its memory.
    ledger.release(second);
    assert_eq!(ledger.bytes(), (0, RESPONSE_BYTES));
    ledger.close(third);
}
