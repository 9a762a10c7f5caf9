//! Jobs that are larger than the memory for jobs, which run in parts.

use std::{
    collections::BTreeSet,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use platform_standin::{Client, expected_events, raw};
use serde_json::Value;

use crate::{
    cluster::KEY,
    ownership::{others, owner, start},
};

const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// `limits.memory_mb` of the nodes. Jobs may take a quarter of it.
const MEMORY_MB: u64 = 4;
/// Items of a job, which take more memory than that, and the bytes of their bodies.
const ITEMS: usize = 130;
const ITEM_BYTES: usize = 10_000;
/// Several times what the job takes.
const JOB_BOUND: Duration = Duration::from_mins(1);

fn submit(node: SocketAddr, job: &str) {
    let mut stream = TcpStream::connect(node).unwrap();
    stream.set_read_timeout(Some(JOB_BOUND)).unwrap();
    stream.write_all(raw::job_of_items(job, KEY, ITEMS, ITEM_BYTES).as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 202"), "{answer}");
}

/// Reads results of a job behind the first ones until there are `wanted`.
fn read(nodes: &[SocketAddr], job: &str, results: &mut Vec<Value>, wanted: usize) {
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let until = Instant::now() + JOB_BOUND;
    for node in nodes.iter().cycle() {
        if results.len() >= wanted {
            return;
        }
        assert!(Instant::now() < until, "`{job}` has {} of {wanted} results", results.len());
        let outcome = client.results(*node, job, results.len());
        if outcome.status() == 200 {
            let page = outcome.json();
            assert_eq!(page["total"].as_u64(), Some(ITEMS as u64));
            results.extend(page["results"].as_array().unwrap().iter().cloned());
        } else {
            assert_ne!(outcome.status(), 404, "`{job}` is unknown");
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Guards against items that are lost or run to two results where a job is loaded in parts, of which
/// some are those of another owner, and against results that change their positions.
#[test]
fn a_job_that_exceeds_the_memory_completes_across_a_take_over() {
    let mut cluster = start("parts", "limits", "memory_mb", MEMORY_MB);
    cluster.store.publish(1);
    cluster.store.allow_bodies(8 * 1024 * 1024);
    cluster.configure(true);
    thread::sleep(Duration::from_secs(1));
    submit(cluster.addresses()[0], "parts");
    let mut results = Vec::new();
    read(&cluster.addresses(), "parts", &mut results, ITEMS / 10);
    let owner = owner(&cluster, "parts");
    cluster.nodes[owner].kill();
    let nodes = others(&cluster, owner);
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let last = format!("parts-{}", ITEMS - 1);
    let body = client.item(nodes[0], "parts", &last).status();
    assert!(matches!(body, 200 | 503), "the body of an item that is not listed: {body}");
    read(&nodes, "parts", &mut results, ITEMS);
    let ids: BTreeSet<&str> = results.iter().filter_map(|result| result["id"].as_str()).collect();
    assert_eq!((results.len(), ids.len()), (ITEMS, ITEMS), "items with one result each");
    for result in &results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["text"], expected_events(id).join("\n"), "{result}");
    }
    let mut again = Vec::new();
    read(&nodes, "parts", &mut again, ITEMS);
    assert_eq!(results, again, "results at other positions");
    let whole = format!("\"next\":{ITEMS}");
    let parts = cluster.log_lines("\"job: items loaded\"");
    let split = parts.iter().filter(|line| !line.contains(&whole)).count();
    assert!(split >= 1 && parts.len() > split, "{parts:?}");
}
