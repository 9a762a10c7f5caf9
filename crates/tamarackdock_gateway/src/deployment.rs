//! The configuration that operators declare, in the form that a node uses.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

/// A shared immutable name of a service, model, data centre, client account or host.
pub type Name = Rc<str>;

/// Kind of the calls of a route, which says whether they may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A call may run more than once.
    Idempotent,
    /// A call may run at most once.
    AtMostOnce,
    /// The response is a stream of events, which another target can continue if
    /// `resumable`.
    Stream {
        /// Whether a target can continue after the last event that the caller has.
        resumable: bool,
    },
    /// Calls are batch jobs.
    Batch,
}

/// Rules for the calls of one host name and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Name,
    /// Host name without port.
    pub host: String,
    /// Path prefix, begins and ends with a slash.
    pub prefix: String,
    /// Kind of the calls.
    pub kind: CallKind,
    /// Longest time until a caller gets a response.
    pub timeout: Duration,
    /// Latency objective: a response within this time has its full value.
    pub objective: Duration,
    /// Services and their weights, whose sum is positive.
    pub services: Vec<(Name, u32)>,
    /// Largest number of targets that one call is sent to. For batch jobs: number of
    /// failed runs at which an item is aborted.
    pub attempts: u32,
    /// Time after submission at which an unfinished item of a batch job is aborted.
    pub item_lifetime: Duration,
    /// Time after submission at which all results of a batch job are due.
    pub due: Duration,
    /// Whether all text of a result must come from one weight version.
    pub single_version: bool,
    /// Whether calls need no key.
    pub public: bool,
    /// Rank of the work, 0 is the highest. It orders work that competes for the same targets.
    pub rank: u32,
}

/// A service and the properties of its targets.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// Time after its start for which a target is cold.
    pub cold_start: Duration,
    /// Requests a second that a cold target can take from all nodes together.
    pub cold_rate: f64,
    /// Models whose weights the targets hold; empty for plain services.
    pub models: Vec<Name>,
    /// Bounds on the number of targets, or `None` if targets can't be ordered.
    pub scaling: Option<Scaling>,
}

/// Bounds on the number of ordered targets, and their prices.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Fewest targets in a data centre.
    pub min: u32,
    /// Most targets in a data centre.
    pub max: u32,
    /// Price of one target for one second, by data centre.
    pub prices: BTreeMap<String, f64>,
}

/// Limits on the requests of clients.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub head_time: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before the first configuration is known, while all
    /// calls are refused.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A configuration of the deployment.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Number of the configuration, which increases. 0 means that none is known yet.
    pub version: u64,
    /// Routes by lowercase host name, longest prefix first.
    pub routes: BTreeMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by API key.
    pub accounts: BTreeMap<String, Name>,
    /// Ranks of client accounts that have their own, which take precedence over those of
    /// routes.
    pub account_ranks: BTreeMap<Name, u32>,
    /// Routes and accounts whose ranks are missing or invalid and count as the lowest.
    pub unranked: Vec<String>,
    /// Whether calls need a key, except on public routes.
    pub requires_key: bool,
    /// Limits on the requests of clients.
    pub limits: Limits,
}

/// Result of [`Deployment::authorize`].
#[derive(Debug, Clone, PartialEq)]
pub enum Authorization {
    /// The call may be served.
    Allowed {
        /// Route that matches the call.
        route: Rc<Route>,
        /// Client account of the key, or `None` if the deployment uses no keys. On public
        /// routes, calls have none, and batch jobs that of a valid key: they are read later, where
        /// no route applies.
        account: Option<Name>,
    },
    /// No route matches the host and path.
    NoRoute,
    /// The key is absent or unknown.
    UnknownKey,
}

impl Deployment {
    /// Adds a route. The routes of a host stay sorted, longest prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        let index = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(index, Rc::new(route));
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host_name(host).as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// Returns the route of a host with exactly this prefix.
    #[must_use]
    pub fn route_at(&self, host: &str, prefix: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host_name(host).as_str())?;
        routes.iter().find(|route| route.prefix == prefix).cloned()
    }

    /// Returns the route for batch jobs of a host with the longest prefix that matches the path.
    #[must_use]
    pub fn batch_route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host_name(host).as_str())?;
        let matches =
            |route: &&Rc<Route>| route.kind == CallKind::Batch && path.starts_with(&route.prefix);
        routes.iter().find(matches).cloned()
    }

    /// Decides whether a call is allowed.
    #[must_use]
    pub fn authorize(&self, host: &str, path: &str, key: Option<&str>) -> Authorization {
        let Some(route) = self.route(host, path) else {
            return Authorization::NoRoute;
        };
        match self.account(key) {
            Some(account) if !route.public || route.kind == CallKind::Batch => {
                Authorization::Allowed { route, account: Some(account) }
            }
            None if self.requires_key && !route.public => Authorization::UnknownKey,
            _ => Authorization::Allowed { route, account: None },
        }
    }

    /// Returns the rank of the work that comes over a route for a client account.
    #[must_use]
    pub fn rank(&self, route: &Route, account: Option<&Name>) -> u32 {
        let own = account.and_then(|account| self.account_ranks.get(account));
        own.copied().unwrap_or(route.rank)
    }

    /// Returns the client account of a key, or `None` if the key is absent or unknown.
    #[must_use]
    pub fn account(&self, key: Option<&str>) -> Option<Name> {
        self.accounts.get(key?).cloned()
    }
}

fn host_name(host: &str) -> String {
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

/// The newest version of a model's weights that a trainer has published.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedWeights {
    /// Model name.
    pub model: Name,
    /// Weight version.
    pub version: u64,
}
