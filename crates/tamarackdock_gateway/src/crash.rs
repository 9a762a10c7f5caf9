//! Requests that crash the targets that run them. Such a request comes again at
//! any node, so that nodes tell each other of it in rows of the store.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tamarackdock_platform::{
    Error,
    table::{Batch, Condition, Write},
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    call::{Call, fingerprint},
    members,
    node::Node,
    pace,
};

/// Table of the rows.
pub(crate) const TABLE: &str = "crash";
/// Part of the rows.
const PART: &str = "c";
/// Different targets that a request must have broken before it is refused. A
/// request meets broken connections by chance too, but hardly three in a row.
const CRASHES: usize = 3;
/// How long a request is refused after its last crash.
const REFUSE_FOR: Duration = Duration::from_secs(45);
/// Tries to add a crash to its row beside other writers.
const TRIES: usize = 4;

/// The runs of targets that a request has broken.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    targets: BTreeSet<String>,
}

#[derive(Debug, Clone)]
struct Seen {
    crashes: usize,
    revision: u64,
    changed: Instant,
}

/// The requests that nodes suspect, by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct Suspects(BTreeMap<String, Seen>);

impl Suspects {
    /// Takes in all rows, as read at `now`.
    pub(crate) fn update(&mut self, batch: &Batch, now: Instant, log: &Logger) {
        let mut known = BTreeMap::new();
        for change in &batch.changes {
            let Some(row) = members::decode::<Row>(change, "crashes", log) else { continue };
            let earlier = self.0.get(&change.key).filter(|seen| seen.revision == change.revision);
            let changed = earlier.map_or(now, |seen| seen.changed);
            let seen = Seen { crashes: row.targets.len(), revision: change.revision, changed };
            known.insert(change.key.clone(), seen);
        }
        self.0 = known;
    }

    /// Returns for how long a request is still refused.
    pub(crate) fn refused_for(&self, fingerprint: &str, now: Instant) -> Option<Duration> {
        let seen = self.0.get(fingerprint).filter(|seen| seen.crashes >= CRASHES)?;
        REFUSE_FOR.checked_sub(now.since(seen.changed))
    }

    /// Returns the requests whose rows are of no use any more.
    fn old(&self, now: Instant) -> Vec<String> {
        let old = self.0.iter().filter(|(_, seen)| now.since(seen.changed) > REFUSE_FOR);
        old.map(|(fingerprint, _)| fingerprint.clone()).collect()
    }
}

/// Returns what stays the same when a request comes again.
pub(crate) fn fingerprint_of(call: &Call) -> String {
    let head = &call.request.head;
    let mut bytes = format!("{:?} {} {} ", call.account, head.method, head.target).into_bytes();
    bytes.extend_from_slice(&call.request.body);
    format!("{:016x}", fingerprint(&bytes))
}

/// Tells the other nodes that a request broke a target.
pub(crate) async fn report(node: Rc<Node>, request: String, target: String) {
    for _ in 0..TRIES {
        match add(&node, &request, &target).await {
            Ok(crashes) => {
                slog::info!(node.log, "crash: recorded"; "request" => request,
                    "target" => &target, "crashes" => crashes);
                return;
            }
            Err(Error::Conflict { .. }) => {}
            Err(error) => return node.store_failed("crash", &error),
        }
    }
}

async fn add(node: &Node, request: &str, target: &str) -> Result<usize, Error> {
    let key = format!("{TABLE}@{PART}/{request}");
    let found = node.store.read(vec![key.clone()]).await?;
    let (mut row, revision) = match found.get(&key) {
        Some(found) => (serde_json::from_str(&found.value).unwrap_or_default(), found.revision),
        None => (Row::default(), 0),
    };
    row.targets.insert(target.to_owned());
    let conditions = vec![Condition { key: key.clone(), revision }];
    let writes = vec![Write { key, value: serde_json::to_string(&row).ok() }];
    node.commit(conditions, writes).await?;
    Ok(row.targets.len())
}

/// Reads the rows for ever, and removes old ones while this node holds the duties.
pub(crate) async fn run(node: Rc<Node>, suspects: Rc<RefCell<Suspects>>) {
    loop {
        sleep(node.members.interval(pace::CRASHES)).await;
        let now = BootClock.now();
        match node.store.snapshot(TABLE, PART.into()).await {
            Ok(batch) => suspects.borrow_mut().update(&batch, now, &node.log),
            Err(error) => node.store_failed("crashes", &error),
        }
        let old = suspects.borrow().old(now);
        if old.is_empty() || node.duties.permit().is_none() {
            continue;
        }
        let writes = old
            .iter()
            .map(|request| Write { key: format!("{TABLE}@{PART}/{request}"), value: None });
        for writes in crate::batch::end::batches(writes.collect()) {
            if let Err(error) = node.commit(Vec::new(), writes).await {
                node.store_failed("crashes", &error);
            }
        }
    }
}
