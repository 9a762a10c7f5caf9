//! Explains to operators where a call or the items of a batch job would go now, and why. It asks
//! the code that decides on real ones, sends nothing to targets and changes no state.

mod call;
mod job;
mod query;

use derive_more::{Display, Error};
use serde_json::{Value, json};

#[cfg(test)]
pub(crate) use self::job::reason_to_wait;
pub(crate) use self::query::Query;
use crate::{node::Node, reply::Reply};

/// Path of the listener for metrics.
pub(crate) const PATH: &str = "/explain";
/// Most targets that an explanation lists in one place. Larger services are not read by eye.
const MAX_TARGETS: usize = 50;
/// Most waiting items that an explanation lists.
const MAX_ITEMS: usize = 20;

/// The reason why there is no explanation.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum ExplainError {
    /// The query names neither a call nor a job.
    #[display("the query needs either `host` and `path`, or `job`; nothing else is known")]
    Query,
    /// The path does not begin with a slash.
    #[display("`path` must begin with `/`")]
    Path,
    /// The node has no configuration yet.
    #[display("this gateway has no configuration yet")]
    Unconfigured,
    /// No route has the host.
    #[display("no route has the host `{host}`")]
    Host {
        /// Host of the query.
        host: String,
    },
    /// No route of the host matches the path.
    #[display("no route of the host `{host}` matches the path `{path}`")]
    NoRoute {
        /// Host of the query.
        host: String,
        /// Path of the query.
        path: String,
    },
    /// The gateway knows no such job.
    #[display("no job `{job}` is known")]
    Job {
        /// Id of the query.
        job: String,
    },
}

impl ExplainError {
    fn status_and_code(&self) -> (u16, &'static str) {
        match self {
            Self::Query | Self::Path => (400, "bad_query"),
            Self::Unconfigured => (503, "unconfigured"),
            Self::Host { .. } => (404, "unknown_host"),
            Self::NoRoute { .. } => (404, "unknown_path"),
            Self::Job { .. } => (404, "unknown_job"),
        }
    }
}

/// Answers a request for an explanation. `target` is the path with the query.
pub(crate) fn serve(node: &Node, target: &str) -> Reply {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    match Query::parse(query).and_then(|query| explain(node, &query)) {
        Ok(explanation) => reply(200, &explanation),
        Err(error) => {
            let (status, code) = error.status_and_code();
            let error = json!({"code": code, "message": error.to_string(), "ran": "no"});
            reply(status, &json!({"error": error}))
        }
    }
}

fn reply(status: u16, body: &Value) -> Reply {
    Reply::new(status, "application/json", body.to_string())
}

fn explain(node: &Node, query: &Query<'_>) -> Result<Value, ExplainError> {
    match *query {
        _ if node.view.deployment().version == 0 => Err(ExplainError::Unconfigured),
        Query::Call { host, path } => call::explain(node, host, path),
        Query::Job(id) => job::explain(node, id),
    }
}
