//! Permits for requests to limited targets, which the limiter of each target grants.
//!
//! The limiter of a target is the first live node by a hash with the target's id. If it does not
//! respond, the second one grants permits at a reduced rate, so that both together keep to the
//! bound even if nodes disagree about who is live.

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{Bucket, Demand, Grant, Notice, Observation};
use crate::{
    batch::takeover,
    deployment::Name,
    members::NodeRun,
    node::Node,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    target::Registration,
};

/// Factor by which the second node in the order of a target's limiters spaces its permits. The
/// bound on a target's requests is one and a half times its limit.
const DEPUTY_SPACING: u32 = 4;
/// Pause after which a limiter is asked again that can't be reached or is none any more.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A request for permits.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Id of the target.
    pub(crate) target: Name,
    /// Start of the target's run.
    pub(crate) started: Option<u64>,
    /// What the sender knows of its limit.
    pub(crate) observation: Option<Observation>,
    /// What the requests are for.
    pub(crate) demand: Demand,
    /// Number of requests that the sender has. If 0, it only reports the observation.
    pub(crate) wanted: u32,
    /// Longest time that these requests can wait.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) longest_wait: Duration,
}

/// The answer to a [`PermitRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitResponse {
    /// What the limiter knows of the target's limit.
    observation: Option<Observation>,
    grant: Grant,
}

/// The permits that this node has granted, by target.
#[derive(Debug, Default)]
pub(crate) struct Limiter(RefCell<BTreeMap<Name, Bucket>>);

impl Limiter {
    /// Answers a request for permits for a target with this spacing, for which this node has
    /// `rank` in the order of limiters.
    pub(crate) fn grant(
        &self,
        request: &PermitRequest,
        spacing: Duration,
        rank: usize,
        now: Instant,
    ) -> Grant {
        let spacing = match rank {
            0 => spacing,
            1 => spacing * DEPUTY_SPACING,
            _ => return Grant { retry_after: RETRY_AFTER, ..Grant::default() },
        };
        let PermitRequest { target, demand, wanted, longest_wait, .. } = request;
        let mut buckets = self.0.borrow_mut();
        let bucket = buckets.entry(target.clone()).or_default();
        bucket.grant(*demand, spacing, *wanted, *longest_wait, now)
    }

    /// Removes the state of targets that are gone.
    pub(crate) fn sweep(&self, in_use: impl Fn(&str) -> bool) {
        self.0.borrow_mut().retain(|target, _| in_use(target));
    }
}

/// Waits for the permit to send one request to a target, if it needs one. Fails with the time
/// after which a permit can be had if that is longer than `longest_wait`.
pub(crate) async fn acquire(
    node: &Node,
    target: &Registration,
    demand: Demand,
    longest_wait: Duration,
) -> Result<(), Duration> {
    if !node.limits.borrow().is_limited(target) {
        return Ok(());
    }
    let withheld = node.limits.borrow().withheld_for(target, BootClock.now());
    if withheld > longest_wait {
        return Err(withheld);
    }
    let grant = ask(node, target, demand, 1, longest_wait).await;
    if grant.count > 0 {
        sleep(grant.delay).await;
        return Ok(());
    }
    node.limits.borrow_mut().withhold(&target.id, grant.retry_after, BootClock.now());
    Err(grant.retry_after)
}

/// Asks for permits for up to `wanted` items, unless that is being done.
pub(crate) fn replenish(node: &Rc<Node>, target: &Registration, wanted: u32) {
    if !node.limits.borrow_mut().begin_asking(target, BootClock.now()) {
        return;
    }
    let (node, target) = (node.clone(), target.clone());
    monoio::spawn(async move {
        let grant = ask(&node, &target, Demand::Batch, wanted, Duration::ZERO).await;
        node.limits.borrow_mut().end_asking(&target.id, grant, BootClock.now());
        if grant.count > 0 {
            node.jobs.changed.notify_all();
        }
    });
}

/// Tells the limiter of a target what an answer has shown.
pub(crate) fn report(node: &Rc<Node>, target: &Registration) {
    let (node, target) = (node.clone(), target.clone());
    monoio::spawn(async move {
        ask(&node, &target, Demand::Batch, 0, Duration::ZERO).await;
    });
}

/// Tells the nodes that have become the first limiters of targets what this node knows of them. It
/// may have learned a limit before it knew the other nodes.
pub(crate) fn report_to_new_limiters(node: &Rc<Node>, before: &[NodeRun], after: &[NodeRun]) {
    if node.limits.borrow().is_empty() {
        return;
    }
    let first = |target: &Name, live: &[NodeRun]| takeover::first_candidates(target, live, 1);
    let targets = node.view.targets.borrow();
    let limits = node.limits.borrow();
    let limited = targets.iter().map(|target| &target.registration).filter(|target| {
        limits.is_limited(target) && first(&target.id, before) != first(&target.id, after)
    });
    limited.for_each(|target| report(node, target));
}

/// Asks the limiter of a target for permits, or the second node in the order if it does not
/// respond.
async fn ask(
    node: &Node,
    target: &Registration,
    demand: Demand,
    wanted: u32,
    longest_wait: Duration,
) -> Grant {
    let observation = node.limits.borrow().observation(&target.id, target.started);
    let request = PermitRequest {
        target: target.id.clone(),
        started: target.started,
        observation,
        demand,
        wanted,
        longest_wait,
    };
    let mut response = None;
    for run in takeover::candidates(&target.id, &node.members.live()) {
        let answer = match node.members.address(&run) {
            _ if run == node.members.own => Ok(serve(node, &request)),
            Some(address) => {
                match peer::ask(address, &PeerRequest::Permits(request.clone()), Duration::ZERO)
                    .await
                {
                    Ok(PeerResponse::Permits(response)) => Ok(response),
                    Ok(_) => Err(PeerError::Malformed),
                    Err(error) => Err(error),
                }
            }
            None => Err(PeerError::Unreachable),
        };
        match answer {
            Ok(answer) => {
                response = Some((run, answer));
                break;
            }
            Err(error) => slog::info!(node.log, "limit: limiter does not respond";
                "target" => &*target.id, "host" => &*run.host, "error" => %error),
        }
    }
    let Some((run, PermitResponse { observation, grant })) = response else {
        return Grant { retry_after: RETRY_AFTER, ..Grant::default() };
    };
    if let Some(observation) = observation {
        node.limits.borrow_mut().record(&target.id, target.started, observation);
    }
    slog::info!(node.log, "limit: permits"; "target" => &*target.id, "host" => &*run.host,
        "demand" => ?demand, "wanted" => wanted, "granted" => grant.count, "delay_ms" => grant.delay.as_millis(),
        "retry_ms" => grant.retry_after.as_millis(),
        "spacing_ms" => observation.and_then(|seen| seen.spacing).map(|spacing| spacing.as_millis()));
    grant
}

/// Returns what this node tells the others: the limits of the targets for which it is the
/// first limiter.
pub(crate) fn own_notices(node: &Node) -> Vec<Notice> {
    // Called whenever a job changes. The order of nodes is not needed while there are no limits.
    if node.limits.borrow().is_empty() {
        return Vec::new();
    }
    let live = node.members.live();
    let is_own = |target: &Name| takeover::rank(target, &node.members.own, &live) == 0;
    node.limits.borrow().notices(is_own)
}

/// Grants permits to a node.
pub(crate) fn serve(node: &Node, request: &PermitRequest) -> PermitResponse {
    let PermitRequest { target, started, wanted, .. } = request;
    let mut limits = node.limits.borrow_mut();
    if let Some(observation) = request.observation
        && limits.record(target, *started, observation)
    {
        // The others learn of it with the next renewal of this node's row.
        node.jobs.changed.notify_all();
    }
    let observation = limits.observation(target, *started);
    let grant = match observation.and_then(|observation| observation.spacing) {
        Some(spacing) => {
            let rank = takeover::rank(target, &node.members.own, &node.members.live());
            node.limiter.grant(request, spacing, rank, BootClock.now())
        }
        None => Grant { count: *wanted, ..Grant::default() },
    };
    PermitResponse { observation, grant }
}
