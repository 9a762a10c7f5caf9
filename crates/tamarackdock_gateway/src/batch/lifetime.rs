//! The route of a job, and for how long its items run, by the configuration that a node knows. It
//! answers the load of jobs that are accepted while nodes know different configurations, and of
//! configurations that change routes while jobs are open. See
//! `docs/incidents/routes-of-open-jobs.md`.

use std::{rc::Rc, time::Duration};

use super::rows::JobHead;
use crate::deployment::{Deployment, Route};

/// Time after an item's lifetime at which it is aborted. The time of the submission is too early
/// by as much as the store's answers are late, which the adapter waits for up to 900 ms.
const MARGIN: Duration = Duration::from_secs(1);

/// Why the unfinished items of a job are aborted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Expiry {
    /// The configuration has no route for the job any more.
    RouteGone,
    /// The lifetime of the items is over.
    LifetimeOver,
}

/// What a configuration says about the route of a job.
#[derive(Debug, Clone)]
pub(crate) enum JobRoute {
    /// The configuration is older than the one under which the job was accepted, so that it
    /// says nothing about the job.
    Unknown,
    /// The route was removed after the job was accepted.
    Gone,
    /// The job has this route.
    Found(Rc<Route>),
}

/// Returns the route of a job by a configuration, whichever is newer. The route keeps its services,
/// limits and rank of that configuration, and what it promised when the job was accepted.
///
/// A route that was added later for part of the paths changes nothing for the job. A route that
/// serves calls of another kind by now goes on to run the items of its open jobs.
pub(crate) fn route(head: &JobHead, deployment: &Deployment) -> Option<Rc<Route>> {
    let Some(terms) = &head.terms else {
        return deployment.batch_route(&head.host, &head.path);
    };
    let found = deployment
        .route_at(&head.host, &terms.prefix)
        .or_else(|| deployment.batch_route(&head.host, &head.path))?;
    let item_lifetime = found.item_lifetime.max(terms.item_lifetime);
    let single_version = found.single_version || terms.single_version;
    if (item_lifetime, single_version) == (found.item_lifetime, found.single_version) {
        return Some(found);
    }
    Some(Rc::new(Route { item_lifetime, single_version, ..Route::clone(&found) }))
}

impl JobRoute {
    /// Looks up the route of a job. Nodes learn of a configuration at different times, so that
    /// the owner of a job can know an older one than the node that accepted it.
    pub(crate) fn of(head: &JobHead, deployment: &Deployment) -> Self {
        match route(head, deployment) {
            _ if deployment.version == 0 || deployment.version < head.deployment => Self::Unknown,
            Some(route) => Self::Found(route),
            None => Self::Gone,
        }
    }

    /// Returns why the unfinished items of a job of this age are aborted, or `None` if they may
    /// still run.
    pub(crate) fn expiry(&self, age: Duration) -> Option<Expiry> {
        match self {
            Self::Found(route) if age > route.item_lifetime + MARGIN => Some(Expiry::LifetimeOver),
            Self::Gone => Some(Expiry::RouteGone),
            Self::Unknown | Self::Found(_) => None,
        }
    }

    /// Returns the number of failed runs at which an item is aborted.
    pub(crate) fn max_failures(&self) -> u32 {
        match self {
            Self::Found(route) => route.attempts,
            Self::Unknown | Self::Gone => u32::MAX,
        }
    }
}
