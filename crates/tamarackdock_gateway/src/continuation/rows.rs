//! Writes, reads and removes the rows of begun streams.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_platform::{
    Error,
    table::{Change as RowChange, Row as StoreRow, Write},
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    KEEP_FOR, Key, PARTS,
    ledger::{Change, Row},
};
use crate::{
    batch::end::split_writes,
    call::{fingerprint, timeout_at},
    members,
    node::Node,
    notify::Notify,
    periodic,
    target::Software,
};

/// Table of the rows.
const TABLE: &str = "begun";
/// Time between checks for rows that are no longer needed.
const CLEAR_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which what was read of the rows is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

fn prefix(part: u64) -> String {
    format!("{TABLE}@s{part}/")
}

fn own_key(node: &Node, number: u64) -> String {
    let run = format!("{}-{:016x}", node.members.own.host, node.members.own.number);
    format!("{}{run}/{number}", prefix(fingerprint(run.as_bytes()) % PARTS))
}

/// Writes the streams of this node's ledger, some of them at once. Never returns.
pub(crate) async fn run_write(node: Rc<Node>) {
    loop {
        let seen = node.ledger_changed.count();
        let changes = node.ledger.borrow().changes(BootClock.now());
        if changes.is_empty() {
            let until = BootClock.now() + CLEAR_INTERVAL;
            timeout_at(until, node.ledger_changed.changed_since(seen)).await;
            continue;
        }
        match write(&node, &changes).await {
            Ok(()) => node.ledger.borrow_mut().confirm(&changes),
            Err(error) => node.store_failed("begun", &error),
        }
        let parts = usize::try_from(PARTS).unwrap_or(1);
        monoio::time::sleep(node.members.interval_in_parts(periodic::BEGINNINGS, parts)).await;
    }
}

async fn write(node: &Node, changes: &[Change]) -> Result<(), Error> {
    // The holder of the duties removes rows by this time.
    let written_ms = node.store_clock.millis(BootClock.now()).ok_or(Error::Unreachable)?;
    let writes = changes.iter().map(|change| {
        let row = change.groups.clone().map(|groups| Row { written_ms, groups });
        let value = row.and_then(|row| serde_json::to_string(&row).ok());
        Write { key: own_key(node, change.number), value }
    });
    for writes in split_writes(writes.collect()) {
        node.commit(Vec::new(), writes).await?;
    }
    Ok(())
}

/// The rows as last read, for streams that no node knows.
#[derive(Debug, Default)]
pub(crate) struct Stored {
    state: RefCell<Scan>,
    /// Notified when a scan has ended.
    ended: Notify,
}

#[derive(Debug, Default)]
struct Scan {
    is_running: bool,
    /// When the last scan that was complete began.
    as_of: Option<Instant>,
    software: BTreeMap<Key, Software>,
    /// Number of scans that have failed.
    failures: u64,
}

impl Stored {
    /// Returns which software began a stream by the rows of all nodes, as of now. Streams that
    /// are looked up at the same time share a scan.
    pub(crate) async fn find(&self, node: &Rc<Node>, stream: Key) -> Option<Software> {
        let asked = BootClock.now();
        let failures = self.state.borrow().failures;
        loop {
            let seen = self.ended.count();
            {
                let mut state = self.state.borrow_mut();
                match state.software.get(&stream) {
                    // What was written once stays true.
                    Some(software) => return Some(software.clone()),
                    None if state.as_of.is_some_and(|as_of| as_of >= asked) => return None,
                    None if state.failures > failures => return None,
                    None if !state.is_running => {
                        state.is_running = true;
                        monoio::spawn(scan(node.clone()));
                    }
                    None => {}
                }
            }
            self.ended.changed_since(seen).await;
        }
    }

    /// Forgets what was read, unless it was a short time ago.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut state = self.state.borrow_mut();
        if state.as_of.is_some_and(|as_of| now.since(as_of) > FORGET_AFTER) {
            state.software.clear();
        }
    }
}

/// Reads the rows of all nodes. It is a task of its own, so that it goes on when the caller that
/// needs it leaves.
async fn scan(node: Rc<Node>) {
    let began = BootClock.now();
    let result = read_all(&node).await;
    let stored = &node.stored_beginnings;
    {
        let mut state = stored.state.borrow_mut();
        state.is_running = false;
        match result {
            Ok(rows) => {
                let groups =
                    rows.iter().filter_map(|row| decode(&node, row)).flat_map(|row| row.groups);
                state.software = groups
                    .flat_map(|group| {
                        group
                            .streams
                            .into_iter()
                            .map(move |stream| (stream, group.software.clone()))
                    })
                    .collect();
                state.as_of = Some(began);
                slog::info!(node.log, "stream: beginnings read"; "rows" => rows.len(),
                    "streams" => state.software.len(),
                    "ms" => BootClock.now().since(began).as_millis());
            }
            Err(error) => {
                state.failures += 1;
                node.store_failed("beginnings", &error);
            }
        }
    }
    stored.ended.notify_all();
}

async fn read_all(node: &Node) -> Result<Vec<StoreRow>, Error> {
    let mut rows = Vec::new();
    for part in 0..PARTS {
        rows.extend(node.read_prefix(prefix(part)).await?);
    }
    Ok(rows)
}

fn decode(node: &Node, row: &StoreRow) -> Option<Row> {
    let change =
        RowChange { key: row.key.clone(), revision: row.revision, value: Some(row.value.clone()) };
    members::decode_row(&change, "begun", &node.log)
}

/// Removes the rows of nodes that are gone while this node holds the duties. Never returns.
pub(crate) async fn run_clear(node: Rc<Node>) {
    loop {
        monoio::time::sleep(CLEAR_INTERVAL).await;
        let now = node.store_clock.earliest(BootClock.now());
        let Some(now) = now.filter(|_| node.duties.permit().is_some()) else { continue };
        if let Err(error) = clear(&node, now).await {
            node.store_failed("begun", &error);
        }
    }
}

async fn clear(node: &Node, now_ms: i64) -> Result<(), Error> {
    let keep_ms = i64::try_from(KEEP_FOR.as_millis()).unwrap_or(i64::MAX);
    for part in 0..PARTS {
        let rows = node.read_prefix(prefix(part)).await?;
        let is_old = |row: &StoreRow| {
            decode(node, row).is_none_or(|decoded| now_ms - decoded.written_ms > keep_ms)
        };
        let old = rows.into_iter().filter(is_old);
        let writes: Vec<Write> = old.map(|row| Write { key: row.key, value: None }).collect();
        if writes.is_empty() {
            continue;
        }
        slog::info!(node.log, "stream: old beginnings removed"; "rows" => writes.len());
        for writes in split_writes(writes) {
            node.commit(Vec::new(), writes).await?;
        }
    }
    Ok(())
}
