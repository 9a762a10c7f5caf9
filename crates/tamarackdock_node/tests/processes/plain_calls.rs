use std::{collections::BTreeMap, net::SocketAddr, thread, time::Duration};

use super::support::{options, start_cluster};
use bytes::Bytes;
use futures_util::future::join_all;
use http::Request;
use serde_json::Value;
use standin::{process::Cluster, world};
use tamarackdock_node::runtime;
use tamarackdock_wire::{
    client::{BufferedResponse, Error, Pool, Timeouts},
    validation::Limits,
};

const CALLERS: usize = 8;
const CALLS: usize = 60;
const FAULT_TIME: Duration = Duration::from_millis(15);

/// Guards against a call that must not be repeated and runs twice, a refusal
/// that wrongly says `ran: no`, an answer that reaches another caller, and a
/// caller's key that reaches a target, while connections to the targets are cut
/// and lose their responses.
#[test]
fn broken_connections_repeat_no_call_and_refusals_are_true() {
    let cluster = start_cluster(world::Options {
        plain_services: vec!["d1", "d2"],
        proxied: true,
        ..options()
    });
    check(&cluster, "unknown", inject_fault);
}

/// Guards against a refusal that wrongly says `ran: no`, and against a call that
/// runs twice, while all targets break their connections and refuse new ones.
#[test]
fn refusals_by_unreachable_services_are_true() {
    let cluster = start_cluster(world::Options { plain_services: vec!["d1", "d2"], ..options() });
    check(&cluster, "no", |cluster, _| {
        cluster.world.plain_services.iter().for_each(|service| service.set_down(true));
        thread::sleep(FAULT_TIME);
        cluster.world.plain_services.iter().for_each(|service| service.set_down(false));
        thread::sleep(FAULT_TIME);
    });
}

/// Makes calls under faults and compares each answer with the runs at the targets.
/// At least one answer must be a refusal with the expected `ran`.
fn check(cluster: &Cluster, expected: &str, inject_fault: impl Fn(&Cluster, usize)) {
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.addresses().callers).collect();
    let calls = thread::spawn(move || call_all(&nodes));
    let mut round = 0;
    while !calls.is_finished() {
        inject_fault(cluster, round);
        round += 1;
    }
    let answers = calls.join().unwrap();
    let runs = runs(cluster);
    println!("{round} rounds of faults, {:?}", count_outcomes(&answers));
    for (id, answer) in &answers {
        let runs = runs.get(id).copied().unwrap_or_default();
        assert!(runs <= 1, "{id} ran {runs} times");
        match answer {
            Ok(answer) if answer.status.is_success() => {
                assert_eq!((runs, text(&answer.body, "body").as_str()), (1, id.as_str()));
            }
            Ok(answer) if ran(&answer.body) == "no" => assert_eq!(runs, 0, "{id}: {answer:?}"),
            Ok(_) | Err(_) => {}
        }
    }
    let counts = count_outcomes(&answers);
    for outcome in ["ok", expected] {
        assert!(counts.contains_key(outcome), "{counts:?}");
    }
    assert_eq!(cluster.world.requests_with_key(), 0);
}

fn inject_fault(cluster: &Cluster, round: usize) {
    let proxy = &cluster.world.plain_proxies[round % 2];
    match (round / 2) % 3 {
        0 => proxy.faults().cut_off = true,
        1 => proxy.faults().lose_responses = true,
        _ => cluster.world.plain_services[round % 2].set_down(true),
    }
    thread::sleep(FAULT_TIME);
    *proxy.faults() = standin::proxy::Faults::default();
    cluster.world.plain_services[round % 2].set_down(false);
    thread::sleep(FAULT_TIME);
}

fn call_all(nodes: &[SocketAddr]) -> BTreeMap<String, Result<BufferedResponse, Error>> {
    runtime::build().unwrap().block_on(async {
        let pool = Pool::new(Limits::default());
        let callers = (0..CALLERS).map(|caller| call_in_turn(&pool, nodes, caller));
        join_all(callers).await.into_iter().flatten().collect()
    })
}

async fn call_in_turn(
    pool: &Pool,
    nodes: &[SocketAddr],
    caller: usize,
) -> Vec<(String, Result<BufferedResponse, Error>)> {
    let mut answers = Vec::new();
    for call in 0..CALLS {
        let id = format!("c{caller}-{call}");
        let address = nodes[call % nodes.len()];
        let request = Request::builder()
            .method("POST")
            .uri("/v1/services/parcels/send")
            .header("host", address.to_string())
            .header("authorization", "Bearer courier-key")
            .header("x-call-id", &id)
            .body(Bytes::from(id.clone()))
            .unwrap();
        let answer = pool.call(address, request, Timeouts::default()).await;
        answers.push((id, answer));
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
    answers
}

/// Returns how often each call ran, summed over all targets.
fn runs(cluster: &Cluster) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for service in &cluster.world.plain_services {
        for (id, runs) in &service.state().runs {
            *all.entry(id.clone()).or_default() += runs;
        }
    }
    all
}

fn count_outcomes(
    answers: &BTreeMap<String, Result<BufferedResponse, Error>>,
) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for answer in answers.values() {
        let outcome = match answer {
            Ok(answer) if answer.status.is_success() => "ok".into(),
            Ok(answer) => ran(&answer.body),
            Err(_) => "broken".into(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    counts
}

fn ran(body: &[u8]) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    value["error"]["ran"].as_str().unwrap_or_default().into()
}

fn text(body: &[u8], field: &str) -> String {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    value[field].as_str().unwrap_or_default().into()
}
