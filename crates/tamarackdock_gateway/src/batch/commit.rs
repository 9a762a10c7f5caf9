//! Results become durable before any client reads them. The head's revision is
//! a condition of each commit, so that a node that has lost a job can't add to it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use tamarackdock_platform::{
    Error,
    table::{Commit, Condition, Row, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{Listed, end, job::Job, rows};
use crate::node::Node;

/// Time in which results are gathered for one commit. A commit takes about 10 ms.
const GATHER: Duration = Duration::from_millis(15);
/// Pause after a failed commit.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Results of one commit. Each has its row, its condition and rarely a second row.
const MAX_RESULTS: usize = 40;
/// Bytes of results of one commit, before encoding.
const MAX_BYTES: usize = 400 * 1024;

/// Commits the results of a job until the job is closed or complete.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    loop {
        let (seen, signal) = {
            let job = job.borrow();
            if job.closed {
                return;
            }
            (job.changed.count(), job.changed.clone())
        };
        if job.borrow().unlisted.is_empty() {
            signal.after(seen).await;
            continue;
        }
        monoio::time::sleep(GATHER).await;
        if let Err(error) = commit(&node, &job).await {
            node.store_failed("results", &error);
            monoio::time::sleep(RETRY_PAUSE).await;
            if let Err(error) = settle(&node, &job).await {
                node.store_failed("results", &error);
            }
        }
    }
}

async fn commit(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    let (commit, count) = prepare(node, &job.borrow());
    node.store.commit(commit).await?;
    let mut job = job.borrow_mut();
    let age = BootClock.now().since(job.accepted).as_secs_f64();
    (0..count).for_each(|_| node.metrics.result_seconds.observe(age));
    slog::info!(node.log, "job: results listed"; "job" => &*job.id, "from" => job.listed.len(),
        "count" => count, "age_ms" => (age * 1000.0).round());
    job.committed(count);
    Ok(())
}

/// Makes the commit of the next results and returns their number.
fn prepare(node: &Node, job: &Job) -> (Commit, usize) {
    let mut commit = Commit {
        operation: node.operation(),
        conditions: vec![Condition { key: rows::head(&job.id), revision: job.revision }],
        writes: Vec::new(),
    };
    let mut size = 0;
    let mut count = 0;
    for result in &job.unlisted {
        size += result.text.len();
        if count > 0 && (count >= MAX_RESULTS || size > MAX_BYTES) {
            break;
        }
        let key = rows::result(&job.id, Some(job.listed.len() + count));
        let text = serde_json::to_string(&**result).expect("a result has a JSON form");
        let pieces = rows::pieces(&text, node.row_bytes());
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

/// Finds out what the store holds after a commit whose outcome is not known,
/// or which met another writer.
async fn settle(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    let (id, listed) = {
        let job = job.borrow();
        (job.id.clone(), job.listed.len())
    };
    // Closes the job if it has another owner or has ended.
    end::read_head(node, &id).await?;
    let results = stored(node, &id, listed).await?;
    if !job.borrow().closed && !results.is_empty() {
        slog::info!(node.log, "job: results found in the store"; "job" => &*id,
            "from" => listed, "count" => results.len());
        job.borrow_mut().adopt(results);
    }
    Ok(())
}

/// Reads results from a position on, as many as one answer of the store holds.
pub(crate) async fn stored(node: &Node, job: &str, from: usize) -> Result<Vec<Listed>, Error> {
    let prefix = rows::result(job, None);
    let rows = node.store.range(prefix, rows::result(job, Some(from))).await?;
    Ok(assemble(&rows, from))
}

/// Joins rows to results. A result that the answer holds in part only is left out.
pub(crate) fn assemble(rows: &[Row], from: usize) -> Vec<Listed> {
    let mut texts: Vec<String> = Vec::new();
    for row in rows {
        match rows::position(&row.key) {
            Some((position, 0)) if position == from + texts.len() => texts.push(row.value.clone()),
            Some((position, _)) if position + 1 == from + texts.len() => {
                texts.last_mut().expect("a first piece came before").push_str(&row.value);
            }
            _ => break,
        }
    }
    texts.iter().map_while(|text| serde_json::from_str(text).ok()).collect()
}
