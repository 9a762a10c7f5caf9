//! What operators declare, as the decisions of a node use it.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

/// A shared immutable name of a service, model, data centre, client account or host.
pub type Name = Rc<str>;

/// What may be repeated of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// A call may run more than once.
    Idempotent,
    /// A call may run at most once.
    AtMostOnce,
    /// The answer is a stream of events, which another target can continue if `resumable`.
    Stream {
        /// Whether a target goes on after the last event that a caller names.
        resumable: bool,
    },
    /// Calls are batch jobs.
    Batch,
}

/// Rules for the calls of one host name and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Name,
    /// Host name without port.
    pub host: String,
    /// Path prefix, begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Services with their weights. The weights have any positive sum.
    pub services: Vec<(Name, u32)>,
    /// Most targets that one call may be sent to.
    pub attempts: u32,
    /// Time after submission at which an item of a batch job may be given up.
    pub item_lifetime: Duration,
    /// Time after submission at which all results of a batch job are due.
    pub due: Duration,
    /// Whether all text of a result must come from one version of the weights.
    pub single_version: bool,
    /// Whether calls need no key.
    pub public: bool,
}

/// A service and its targets' properties.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// How long a started target stays cold.
    pub cold_start: Duration,
    /// Requests a second that a cold target bears, summed over all nodes.
    pub cold_rate: f64,
    /// Models that the targets hold; empty for plain services.
    pub models: Vec<Name>,
    /// Bounds of the number of targets, if targets can be ordered.
    pub scaling: Option<Scaling>,
}

/// Bounds and prices of ordered targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Scaling {
    /// Fewest targets in a data centre.
    pub min: u32,
    /// Most targets in a data centre.
    pub max: u32,
    /// Price of a target second by data centre.
    pub prices: BTreeMap<String, f64>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head.
    pub head_time: Duration,
    /// Longest time between requests.
    pub idle_time: Duration,
}

impl Default for Limits {
    /// Limits before the first configuration is known, when all calls are refused.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// A configuration.
#[derive(Debug, Clone, Default)]
pub struct Deployment {
    /// Number of the configuration. Later ones are higher.
    pub version: u64,
    /// Routes by host name, longest prefix first.
    pub routes: BTreeMap<String, Vec<Rc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Client accounts by key.
    pub accounts: BTreeMap<String, Name>,
    /// Whether keys are in use.
    pub keyed: bool,
    /// Limits of clients.
    pub limits: Limits,
}

/// What a deployment says of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The call may be served for this client account.
    Allowed {
        /// Route of the call.
        route: Rc<Route>,
        /// Client account, `None` on open routes and where no keys are in use.
        account: Option<Name>,
    },
    /// No route matches.
    NoRoute,
    /// The key is absent or unknown.
    UnknownKey,
}

impl Deployment {
    /// Adds a route. Routes of a host are kept with the longest prefix first.
    pub fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.to_ascii_lowercase()).or_default();
        let place = routes.partition_point(|other| other.prefix.len() >= route.prefix.len());
        routes.insert(place, Rc::new(route));
    }

    /// Returns the route with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<Rc<Route>> {
        let routes = self.routes.get(host_name(host).as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// Decides whether a call is allowed.
    #[must_use]
    pub fn judge(&self, host: &str, path: &str, key: Option<&str>) -> Verdict {
        let Some(route) = self.route(host, path) else {
            return Verdict::NoRoute;
        };
        match self.account(key) {
            Some(account) if !route.public => Verdict::Allowed { route, account: Some(account) },
            None if self.keyed && !route.public => Verdict::UnknownKey,
            _ => Verdict::Allowed { route, account: None },
        }
    }

    /// Returns the client account of a key.
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
pub struct Published {
    /// Model.
    pub model: Name,
    /// Version.
    pub version: u64,
}
