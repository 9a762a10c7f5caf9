//! Calls about submitted batch jobs. Any node can answer them.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{Page, access::Access, commit, end, index::VersionedHead, load, rows};
use crate::{
    call::timeout_at,
    deployment::Name,
    node::Node,
    peer::{self, PeerRequest, PeerResponse},
    reply::Reply,
    server::Request,
    wire_format::BatchCall,
};

/// Longest time that a read of results waits for a new one.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Time after which a client should repeat a call for which the store was not available.
const RETRY_AFTER: Duration = Duration::from_millis(200);

fn store_unavailable() -> Reply {
    Reply::not_run("the store of batch jobs is not available now", RETRY_AFTER)
}

/// Returns whether a call is about a known job that needs no key.
pub(crate) fn is_open_to_all(node: &Node, call: &BatchCall) -> bool {
    node.jobs.head(job_of(call)).is_some_and(|entry| entry.head.account.is_none())
}

/// Returns the id of the job that a call is about.
fn job_of(call: &BatchCall) -> &str {
    let (BatchCall::Read { job, .. } | BatchCall::Item { job, .. } | BatchCall::End { job }) = call;
    job
}

/// Serves a call about a batch job: a read of results or of an item, or the job's end.
pub(crate) async fn serve(
    node: &Rc<Node>,
    call: BatchCall,
    account: Option<Name>,
    requires_key: bool,
    request: &Request,
) -> Reply {
    let job = job_of(&call);
    if !rows::is_valid_id(job) {
        return Reply::error(404, "no such batch job");
    }
    let id: Name = job.into();
    let entry = match node.jobs.head(&id) {
        Some(entry) => entry,
        None => match end::read_head(node, &id).await {
            Ok(Some(entry)) => entry,
            Ok(None) => {
                slog::info!(node.log, "job: not found in the store"; "job" => &*id);
                return Reply::error(404, "no such batch job");
            }
            Err(error) => {
                node.store_failed("head", &error);
                return store_unavailable();
            }
        },
    };
    let access = Access::of(entry.head.account.as_ref(), account.as_ref(), requires_key);
    if access != Access::Allowed {
        slog::info!(node.log, "job: of another client account"; "job" => &*id,
            "revision" => entry.revision, "access" => ?access);
    }
    match access {
        Access::Allowed => {}
        Access::OtherAccount => return Reply::error(404, "no such batch job"),
        Access::UnknownKey => return Reply::error(401, "the key is absent or unknown"),
    }
    match call {
        BatchCall::Read { after, .. } => {
            let field = node.wire_format.fields().wait;
            let wait = request.head.headers.number::<u64>(field).unwrap_or_default();
            let wait = Duration::from_millis(wait).min(MAX_WAIT);
            results_reply(node, &id, &entry, after, request.arrived + wait).await
        }
        BatchCall::Item { item, .. } => item_body(node, &id, &entry, &item).await,
        BatchCall::End { .. } => match end::end(node, &id, entry).await {
            Ok(()) => Reply::empty(200),
            Err(error) => {
                node.store_failed("end", &error);
                store_unavailable()
            }
        },
    }
}

async fn results_reply(
    node: &Rc<Node>,
    id: &Name,
    entry: &VersionedHead,
    after: usize,
    wait_until: Instant,
) -> Reply {
    let total = entry.head.items;
    let page = |source: &'static str, page: &Page| {
        slog::info!(node.log, "job: results read"; "job" => &**id, "source" => source,
            "after" => after, "count" => page.results.len(), "revision" => entry.revision,
            "epoch" => entry.head.epoch, "ended" => entry.head.ended);
        Reply::new(200, "application/json", node.wire_format.page(page))
    };
    if let Some(found) = own_results(node, id, after, wait_until).await {
        return page("memory", &found);
    }
    if let Some(found) = owner_results(node, id, entry, after, wait_until).await {
        return page("owner", &found);
    }
    let Some(_reading) = node.job_reads.enter(BootClock.now() + MAX_WAIT).await else {
        return store_unavailable();
    };
    match commit::read_results(node, id, after).await {
        Ok(results) => {
            let results: Vec<_> = results.into_iter().map(Rc::new).collect();
            page("store", &Page::of(total, after, &results))
        }
        Err(error) => {
            node.store_failed("read", &error);
            store_unavailable()
        }
    }
}

/// Returns a page from memory, or `None` if this node does not run the job. If there is
/// no result at the position yet, waits for one until `wait_until`. Listed results never change,
/// but a position is answered as empty only with proof that no other node has filled it.
pub(crate) async fn own_results(
    node: &Rc<Node>,
    id: &str,
    after: usize,
    wait_until: Instant,
) -> Option<Page> {
    loop {
        let (seen, changed) = {
            let job = node.jobs.own_job(id)?;
            let job = job.borrow();
            let now = BootClock.now();
            let lease = *node.jobs.lease.borrow();
            let results = match after.checked_sub(job.first_result) {
                Some(from) => job.results.get(from..).unwrap_or_default(),
                // The store has it.
                None => return None,
            };
            match () {
                () if job.closed => return None,
                () if !results.is_empty() || job.is_complete() => {
                    return Some(Page::of(job.head.items, after, results));
                }
                // A job that is handed over may have another owner before this node knows.
                () if node.is_leaving() || !lease.holds(now) => {
                    slog::info!(node.log, "job: ownership not proven"; "job" => id,
                        "after" => after, "listed" => job.listed(),
                        "leaving" => node.is_leaving(),
                        "expired_ms" => lease.expired_for(now).map(|time| time.as_millis()),
                        "heads_age_ms" => lease.heads_age(now).map(|age| age.as_millis()));
                    return None;
                }
                () if now >= wait_until => return Some(Page::of(job.head.items, after, &[])),
                () => (job.changed.count(), job.changed.clone()),
            }
        };
        // After a timeout, the next iteration returns.
        let _ = timeout_at(wait_until, changed.changed_since(seen)).await;
    }
}

/// Requests a page from the other node that owns the job. Returns `None` if there is no
/// such node or it gives no page.
async fn owner_results(
    node: &Rc<Node>,
    id: &Name,
    entry: &VersionedHead,
    after: usize,
    wait_until: Instant,
) -> Option<Page> {
    let owner = entry.head.owner.as_ref().filter(|_| !entry.head.ended)?;
    let address = node.members.address(owner).filter(|_| *owner != node.members.own)?;
    let wait_ms = wait_until.since(BootClock.now()).as_millis();
    let wait_ms = u64::try_from(wait_ms).unwrap_or_default();
    let request = PeerRequest::Results { job: id.clone(), after, wait_ms };
    let wait = Duration::from_millis(wait_ms);
    match peer::ask_within(address, &request, wait, Some(&node.response_budget)).await {
        Ok(PeerResponse::Results(page)) => page,
        Ok(_) => None,
        Err(error) => {
            slog::info!(node.log, "peer: no answer from the owner of a job"; "job" => &**id,
                "host" => &*owner.host, "error" => %error);
            None
        }
    }
}

async fn item_body(node: &Rc<Node>, id: &Name, entry: &VersionedHead, item: &str) -> Reply {
    let found = |body: Bytes| Reply::new(200, "application/octet-stream", body);
    let own = || {
        let job = node.jobs.own_job(id)?;
        let job = job.borrow();
        let found = job.items.iter().find(|candidate| *candidate.request.id == *item);
        found.map(|found| found.request.body.clone())
    };
    if let Some(body) = own() {
        return found(body);
    }
    let Some(_reading) = node.job_reads.enter(BootClock.now() + MAX_WAIT).await else {
        return store_unavailable();
    };
    // This node can have taken the job over meanwhile.
    let body = match own() {
        Some(body) => Ok(Some(body)),
        None => load::find_body(node, id, &entry.head, item).await,
    };
    match body {
        Ok(Some(body)) => found(body),
        Ok(None) => Reply::error(404, "no such item"),
        Err(error) => {
            node.store_failed("spec", &error);
            store_unavailable()
        }
    }
}
