//! Whether a node sends a request of another one on.
//!
//! The node that forwards checks by its own knowledge: after a pause, or when the other node knows
//! less, it must not send anything on that must not run. The load that this answers is a few hosts
//! that forward the requests of most others.

use std::{collections::BTreeSet, time::Duration};

use tamarackdock_path::Refusal;

use super::ForwardedRequest;
use crate::{
    deployment::{Authorization, Deployment, Name},
    path::Permission,
    target::Registration,
};

/// Longest time from the sending of a request until it is sent on. A process that was paused
/// meanwhile must not send a request whose caller may have given up.
const MAX_DELAY_MS: i64 = 400;
/// Requests that a node forwards at the same time for each core: streams that use about a quarter
/// of it.
const REQUESTS_PER_CORE: f64 = 150.0;
/// The same for a node with a small part of a core.
const MIN_REQUESTS: usize = 8;

/// What a node knows when it is asked to forward a request.
pub(crate) struct Knowledge<'a> {
    /// Whether its own paths to the targets are lost.
    pub(crate) paths_lost: bool,
    /// Number of requests that it forwards.
    pub(crate) forwarding: usize,
    /// Processor cores that it may use.
    pub(crate) cores: f64,
    /// Whether a planned stop has begun.
    pub(crate) is_leaving: bool,
    /// Age of the request by the store's clock, if that is known.
    pub(crate) age_ms: Option<i64>,
    /// The request's target, if it is registered.
    pub(crate) target: Option<&'a Registration>,
    /// Data centres that are evacuated.
    pub(crate) evacuated: &'a BTreeSet<Name>,
    pub(crate) deployment: &'a Deployment,
    /// Whether there is a recent proof that its keys are in force.
    pub(crate) allows_keys: bool,
    /// Header field that names the client account to targets.
    pub(crate) account_field: &'a str,
}

/// A request that may be sent on.
#[derive(Debug)]
pub(crate) struct Admission {
    pub(crate) target: Registration,
    /// Time since the other node has sent the request.
    pub(crate) age: Duration,
    /// Time after which it must not be sent on any more.
    pub(crate) send_within: Duration,
}

/// Returns how many requests a node forwards at the same time.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn capacity(cores: f64) -> usize {
    (cores.max(0.0) * REQUESTS_PER_CORE) as usize + MIN_REQUESTS
}

impl Knowledge<'_> {
    /// Returns the target of a request, or why it is not sent on.
    pub(crate) fn admit(
        &self,
        request: &ForwardedRequest,
    ) -> Result<Admission, (Refusal, &'static str)> {
        match (self.target, self.age_ms) {
            _ if self.paths_lost => Err((Refusal::Lost, "paths lost")),
            _ if self.forwarding >= capacity(self.cores) => Err((Refusal::Full, "full")),
            _ if self.is_leaving => Err((Refusal::Declined, "planned stop")),
            (None, _) => Err((Refusal::Declined, "target unknown")),
            (Some(target), _) if target.draining => Err((Refusal::Declined, "target leaves")),
            (Some(target), _) if self.evacuated.contains(&target.data_centre) => {
                Err((Refusal::Declined, "data centre evacuated"))
            }
            (Some(target), _) if !self.permits(request, target) => {
                Err((Refusal::Declined, "not permitted"))
            }
            (Some(target), Some(age_ms)) if age_ms <= MAX_DELAY_MS => {
                let millis =
                    |millis| Duration::from_millis(u64::try_from(millis).unwrap_or_default());
                Ok(Admission {
                    target: target.clone(),
                    age: millis(age_ms),
                    send_within: millis(MAX_DELAY_MS - age_ms.max(0)),
                })
            }
            (Some(_), _) => Err((Refusal::Declined, "late")),
        }
    }

    /// Returns whether the configuration lets a request go to its target.
    fn permits(&self, request: &ForwardedRequest, target: &Registration) -> bool {
        let host = request.headers.get("host").unwrap_or_default();
        let path = request.path.split('?').next().unwrap_or_default();
        let named = request.headers.get(self.account_field);
        let route = match &request.permission {
            Permission::Job => match &request.job_route {
                Some(prefix) => self
                    .deployment
                    .route_at(host, prefix)
                    .or_else(|| self.deployment.batch_route(host, prefix)),
                None => self.deployment.route(host, path),
            },
            Permission::Key(_) if !self.allows_keys => None,
            Permission::Key(key) => match self.deployment.authorize(host, path, key.as_deref()) {
                Authorization::Allowed { route, account } if account.as_deref() == named => {
                    Some(route)
                }
                _ => None,
            },
        };
        route.is_some_and(|route| route.services.iter().any(|(name, _)| *name == target.service))
    }
}
