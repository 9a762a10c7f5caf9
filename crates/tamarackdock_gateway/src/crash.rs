//! Detection of requests that crash the targets that run them. Such a request may
//! be repeated at any node, so nodes share their observations in rows of the store.

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
    http::{Connection, ExchangeError},
    members,
    node::Node,
    origin::Origin,
    path, periodic,
    target::Registration,
    telemetry::excerpt,
};

/// Table of the observed crashes.
pub(crate) const TABLE: &str = "crash";
/// Part of the table that holds the rows.
const PART: &str = "c";
/// Number of different targets that a request must have crashed before it is
/// refused. Connections also break by chance, but hardly three in a row.
const MIN_CRASHES: usize = 3;
/// How long a request is refused after the last of [`MIN_CRASHES`]. Each further crash doubles it.
const REFUSE_FOR: Duration = Duration::from_secs(45);
/// Most doublings, to 12 min.
const MAX_DOUBLINGS: usize = 4;
/// How long a request that was refused is remembered after its last crash, unless a target answers
/// it. Otherwise it could crash as many targets again after each refusal.
const REMEMBER_FOR: Duration = Duration::from_mins(15);
/// Time within which a target that still runs accepts a connection.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// Attempts to add a crash to its row while other nodes write it.
const MAX_ATTEMPTS: usize = 4;

/// A row: the target runs that one request has crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Row {
    targets: BTreeSet<String>,
}

#[derive(Debug, Clone)]
struct SuspectRequest {
    crashes: usize,
    revision: u64,
    /// When this node first read the row at this revision.
    changed: Instant,
}

/// Requests that are suspected of crashing targets, by fingerprint.
#[derive(Debug, Default)]
pub(crate) struct SuspectRequests(BTreeMap<String, SuspectRequest>);

impl SuspectRequests {
    /// Replaces the suspects by all rows, as read at `now`.
    pub(crate) fn update(&mut self, batch: &Batch, now: Instant, log: &Logger) {
        let mut suspects = BTreeMap::new();
        for change in &batch.changes {
            let Some(row) = members::decode_row::<Row>(change, "crashes", log) else { continue };
            let earlier =
                self.0.get(&change.key).filter(|suspect| suspect.revision == change.revision);
            let changed = earlier.map_or(now, |suspect| suspect.changed);
            let suspect =
                SuspectRequest { crashes: row.targets.len(), revision: change.revision, changed };
            suspects.insert(change.key.clone(), suspect);
        }
        self.0 = suspects;
    }

    /// Returns how much longer a request is refused, or `None` if it is not.
    pub(crate) fn refused_for(&self, fingerprint: &str, now: Instant) -> Option<Duration> {
        let suspect = self.0.get(fingerprint)?;
        let further = suspect.crashes.checked_sub(MIN_CRASHES)?.min(MAX_DOUBLINGS);
        (REFUSE_FOR * (1 << further)).checked_sub(now.since(suspect.changed))
    }

    /// Forgets a request. Returns whether it was suspected.
    fn forget(&mut self, fingerprint: &str) -> bool {
        self.0.remove(fingerprint).is_some()
    }

    /// Returns the requests whose rows are no longer needed.
    pub(crate) fn expired(&self, now: Instant) -> Vec<String> {
        let expired = self.0.iter().filter(|(_, suspect)| {
            let was_refused = suspect.crashes >= MIN_CRASHES;
            now.since(suspect.changed) > if was_refused { REMEMBER_FOR } else { REFUSE_FOR }
        });
        expired.map(|(fingerprint, _)| fingerprint.clone()).collect()
    }
}

/// Returns a fingerprint of a call that is the same when the request is repeated: a
/// hash of its client account, method, request target and body.
pub(crate) fn request_fingerprint(call: &Call) -> String {
    let head = &call.request.head;
    let mut bytes = format!("{:?} {} {} ", call.account, head.method, head.target).into_bytes();
    bytes.extend_from_slice(&call.request.body);
    format!("{:016x}", fingerprint(&bytes))
}

/// How a run of a request came to its break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Break {
    /// Nothing of the response came.
    AtOnce,
    /// Some of its events came.
    AfterEvents,
}

/// Takes note of a call whose run at a target ended with an error. A lost connection counts as a
/// crash of the target. Long streams often lose their connections to targets that go on, so that
/// one that has begun counts only if the target can no longer be reached.
pub(crate) fn observe(
    node: &Rc<Node>,
    call: &Call,
    target: &Registration,
    error: ExchangeError,
    ended: Break,
) {
    // Scoring calls have a growing pause of their own.
    if error != ExchangeError::ConnectionLost || call.origin != Origin::Caller {
        return;
    }
    let request = request_fingerprint(call);
    // A target that restarts under the same id counts as a different one.
    let run = format!("{}#{}", target.id, target.started.unwrap_or_default());
    let (node, target) = (node.clone(), target.clone());
    monoio::spawn(async move {
        if ended == Break::AfterEvents {
            match Connection::open(target.address, CONFIRM_TIMEOUT).await {
                Ok(_) => return,
                Err(error) => path::observe_refusal(&node, &target, &error),
            }
        }
        record(&node, request, run).await;
    });
}

/// Takes note of a call that a target has answered: it does not crash the targets that run it.
pub(crate) fn acquit(node: &Rc<Node>, call: &Call) {
    if node.suspects.borrow().0.is_empty() {
        return;
    }
    let request = request_fingerprint(call);
    if !node.suspects.borrow_mut().forget(&request) {
        return;
    }
    slog::info!(node.log, "crash: request no longer suspected"; "id" => &call.id,
        "request" => &request);
    let node = node.clone();
    monoio::spawn(async move {
        let writes = vec![Write { key: format!("{TABLE}@{PART}/{request}"), value: None }];
        if let Err(error) = node.commit(Vec::new(), writes).await {
            node.store_failed("crash", &error);
        }
    });
}

/// Records that a request crashed a run of a target, for all nodes.
async fn record(node: &Node, request: String, target: String) {
    for _ in 0..MAX_ATTEMPTS {
        match try_record(node, &request, &target).await {
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

/// Adds a target to the row of a request, and returns how many targets it has.
/// Fails with [`Error::Conflict`] if another node changed the row meanwhile.
async fn try_record(node: &Node, request: &str, target: &str) -> Result<usize, Error> {
    let key = format!("{TABLE}@{PART}/{request}");
    let found = node.store.read(vec![key.clone()]).await?;
    let (mut row, revision) = match found.get(&key) {
        Some(found) => {
            let row = serde_json::from_str(&found.value).unwrap_or_else(|error| {
                slog::warn!(node.log, "crash: row replaced"; "key" => &key,
                    "error" => excerpt(&error));
                Row::default()
            });
            (row, found.revision)
        }
        None => (Row::default(), 0),
    };
    row.targets.insert(target.to_owned());
    let conditions = vec![Condition { key: key.clone(), revision }];
    let writes = vec![Write { key, value: serde_json::to_string(&row).ok() }];
    node.commit(conditions, writes).await?;
    Ok(row.targets.len())
}

/// Reads the rows at intervals, and removes expired ones while this node holds the
/// duties. Never returns.
pub(crate) async fn run(node: Rc<Node>, suspects: Rc<RefCell<SuspectRequests>>) {
    loop {
        sleep(node.members.interval(periodic::CRASHES)).await;
        let now = BootClock.now();
        match node.store.snapshot(TABLE, PART.into()).await {
            Ok(batch) => suspects.borrow_mut().update(&batch, now, &node.log),
            Err(error) => node.store_failed("crashes", &error),
        }
        let expired = suspects.borrow().expired(now);
        if expired.is_empty() || node.duties.permit().is_none() {
            continue;
        }
        let writes = expired
            .iter()
            .map(|request| Write { key: format!("{TABLE}@{PART}/{request}"), value: None });
        for writes in crate::batch::end::split_writes(writes.collect()) {
            if let Err(error) = node.commit(Vec::new(), writes).await {
                node.store_failed("crashes", &error);
            }
        }
    }
}
