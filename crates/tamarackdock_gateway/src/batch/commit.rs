//! Commits results to the store before any client can read them. The head's revision is
//! a condition of each commit, so that a node that is no longer the owner can't add
//! results.

use std::{cell::RefCell, rc::Rc, time::Duration};

use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Row, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{ItemResult, end, job::Job, rows};
use crate::node::Node;

/// Time during which results are gathered for one commit. A commit takes about 10 ms.
const GATHER_TIME: Duration = Duration::from_millis(15);
/// Pause after a failed commit.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most results of one commit. Each takes a condition and a row, rarely a second row.
const MAX_RESULTS: usize = 40;
/// Most bytes of text, before encoding, in a commit of several results.
const MAX_RESULT_BYTES: usize = 400 * 1024;

/// Commits the results of a job until the job is closed.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    loop {
        let (seen, changed) = {
            let job = job.borrow();
            if job.closed {
                return;
            }
            (job.changed.count(), job.changed.clone())
        };
        if job.borrow().uncommitted.is_empty() {
            changed.changed_since(seen).await;
            continue;
        }
        monoio::time::sleep(GATHER_TIME).await;
        if let Err(error) = commit(&node, &job).await {
            node.store_failed("results", &error);
            monoio::time::sleep(RETRY_PAUSE).await;
            if let Err(error) = reconcile(&node, &job).await {
                node.store_failed("results", &error);
            }
        }
    }
}

async fn commit(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    let (commit, count) = prepare_commit(node, &job.borrow());
    node.store.commit(commit).await?;
    let mut job = job.borrow_mut();
    let age = BootClock.now().since(job.accepted).as_secs_f64();
    (0..count).for_each(|_| node.metrics.result_seconds.observe(age));
    slog::info!(node.log, "job: results committed"; "job" => &*job.id, "from" => job.listed(),
        "count" => count, "age_ms" => (age * 1000.0).round());
    job.mark_committed(count);
    Ok(())
}

/// Returns a commit of the next results, and their number.
fn prepare_commit(node: &Node, job: &Job) -> (Commit, usize) {
    let mut commit = Commit {
        operation: node.next_operation_id(),
        conditions: vec![Condition { key: rows::head_key(&job.id), revision: job.revision }],
        writes: Vec::new(),
    };
    let mut size = 0;
    let mut count = 0;
    for result in &job.uncommitted {
        size += result.text.len();
        if count > 0 && (count >= MAX_RESULTS || size > MAX_RESULT_BYTES) {
            break;
        }
        let key = rows::result_key(&job.id, Some(job.listed() + count));
        let text = serde_json::to_string(&**result).expect("a result has a JSON form");
        let pieces = rows::split_text(&text, node.row_bytes());
        for (piece, text) in pieces.into_iter().enumerate() {
            let key = format!("{key}/{piece:02}");
            if piece == 0 {
                commit.conditions.push(Condition { key: key.clone(), revision: 0 });
            }
            commit.writes.push(Write { key, value: Some(text.into()) });
        }
        count += 1;
    }
    (commit, count)
}

/// Brings the job in line with the store after a commit that failed: its outcome may be
/// unknown, or another writer may have been first.
async fn reconcile(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    let (id, from) = {
        let job = job.borrow();
        (job.id.clone(), job.listed())
    };
    // This also closes the job if it has another owner or has ended.
    end::read_head(node, &id).await?;
    let results = read_results(node, &id, from).await?;
    if !job.borrow().closed && !results.is_empty() {
        slog::info!(node.log, "job: results found in the store"; "job" => &*id,
            "from" => from, "count" => results.len());
        job.borrow_mut().add_stored_results(results);
    }
    Ok(())
}

/// Reads committed results from a position on: as many as one answer of the store holds, and at
/// least one if there is any, however few of its rows an answer holds.
pub(crate) async fn read_results(
    node: &Node,
    job: &str,
    from: usize,
) -> Result<Vec<ItemResult>, Error> {
    let prefix = rows::result_key(job, None);
    let mut rows: Vec<Row> = Vec::new();
    let mut next = rows::result_key(job, Some(from));
    loop {
        let page = node.store.range(prefix.clone(), next).await?;
        let is_last = page.is_empty();
        rows.extend(page);
        let results = join_rows(&rows, from);
        let Some(last) = rows.last().filter(|row| results.is_empty() && is_cut(row, from)) else {
            return Ok(results);
        };
        if is_last {
            slog::error!(node.log, "job: result without its last rows"; "job" => job,
                "position" => from, "rows" => rows.len());
            return Err(Error::Malformed);
        }
        // The first possible key behind the last one.
        next = format!("{}\0", last.key);
    }
}

/// Returns whether a row belongs to the result at a position, so that more of its rows may follow.
fn is_cut(last: &Row, position: usize) -> bool {
    rows::parse_result_key(&last.key).is_some_and(|(found, _)| found == position)
}

/// Decodes results from rows that begin at the position `from`, up to the first gap. A
/// result whose last rows are missing from the answer of the store is left out.
pub(crate) fn join_rows(rows: &[Row], from: usize) -> Vec<ItemResult> {
    let mut texts: Vec<String> = Vec::new();
    for row in rows {
        match rows::parse_result_key(&row.key) {
            Some((position, 0)) if position == from + texts.len() => texts.push(row.value.clone()),
            Some((position, _)) if position + 1 == from + texts.len() => {
                texts.last_mut().expect("the first piece precedes the others").push_str(&row.value);
            }
            _ => break,
        }
    }
    texts.iter().map_while(|text| serde_json::from_str(text).ok()).collect()
}
