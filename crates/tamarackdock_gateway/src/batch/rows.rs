//! Keys and values of the rows of batch jobs in the store. All rows of a job are in one
//! part of the tables (the store's unit of transactions), so that one transaction can
//! change them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{
    call::fingerprint,
    deployment::{Name, Route},
    members::NodeRun,
};

/// Table of the heads of jobs, whose feed all nodes follow.
pub(crate) const HEADS_TABLE: &str = "job";
/// Number of parts over which jobs are spread. A part takes 200 transactions a second.
const PARTS: u64 = 16;
/// Longest id of a job or item. Keys of rows have at most 200 bytes, and some contain
/// both ids.
const MAX_ID_BYTES: usize = 64;
/// Divisor of the bound on a row's value, which may apply to the encoded value: only
/// this part of the bound is used for text.
const ROW_BYTES_DIVISOR: usize = 2;

/// The head of a job: its main row, whose existence makes the job exist. It is written
/// at acceptance, by a node that takes the job over or gives it up, and by a node that
/// ends it for its client. Each commit of an owner has its revision as a condition, so
/// that it fences out earlier owners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobHead {
    /// Client account that submitted the job and alone may read and end it, or `None` if it came
    /// without one, see [`Access`](super::access::Access).
    pub(crate) account: Option<Name>,
    /// Value of the submission's `Host` field, which selects the route.
    pub(crate) host: String,
    /// Path of the submission, which selects the route.
    pub(crate) path: String,
    /// Model of the submission, see [`Submission::model`](super::Submission::model).
    pub(crate) model: Option<Name>,
    /// Number of the trainer's step.
    pub(crate) step: u64,
    /// Store time of the acceptance in milliseconds. Earlier releases wrote 0 if they did not
    /// know it, see [`Self::accepted`].
    pub(crate) accepted_ms: i64,
    /// Number of items.
    pub(crate) items: usize,
    /// Number of rows that hold the submission.
    pub(crate) chunks: usize,
    /// Estimated output tokens of all items.
    pub(crate) work: u64,
    /// Run of the node that runs the items, `None` after a planned stop of that node
    /// or if no node could be chosen.
    pub(crate) owner: Option<NodeRun>,
    /// Number of owners so far.
    pub(crate) epoch: u64,
    /// Whether the client has ended the job.
    pub(crate) ended: bool,
    /// Version of the configuration under which the job was accepted. Earlier releases don't
    /// write it, and heads without it count as older than any configuration.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub(crate) deployment: u64,
    /// Whether the job is being removed: its other rows may be gone, so that it counts as removed.
    /// Earlier releases ignore this field. It is left out while it is not set.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(crate) removing: bool,
    /// Oldest version of the weights that may produce a result. Written with
    /// `scheduling.adaptive`, and ignored by earlier releases.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) min_version: Option<u64>,
    /// What the route of the submission promised. Earlier releases don't write it, and drop it
    /// when they write the head again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) terms: Option<Terms>,
}

/// What a route promised when a job was accepted, which later configurations don't take back.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Terms {
    /// Path prefix of the route, by which later configurations are searched for it. Routes that
    /// are added later may have longer prefixes of the same path.
    pub(crate) prefix: String,
    /// Time after submission at which an unfinished item is aborted, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) item_lifetime: Duration,
    /// Whether all text of a result must come from one weight version.
    pub(crate) single_version: bool,
}

impl Terms {
    pub(crate) fn of(route: &Route) -> Self {
        Self {
            prefix: route.prefix.clone(),
            item_lifetime: route.item_lifetime,
            single_version: route.single_version,
        }
    }
}

impl JobHead {
    /// Returns the store time of the acceptance in milliseconds, or `None` if it is not known.
    pub(crate) fn accepted(&self) -> Option<i64> {
        Some(self.accepted_ms).filter(|millis| *millis > 0)
    }

    /// Returns how long ago the job was accepted, by the store's time. A job whose age is not
    /// known counts as new, so that none of its items is given up early.
    pub(crate) fn age(&self, store_ms: Option<i64>) -> Duration {
        let millis = store_ms.zip(self.accepted()).map(|(now, accepted)| now - accepted);
        millis
            .and_then(|millis| u64::try_from(millis).ok())
            .map_or(Duration::ZERO, Duration::from_millis)
    }

    /// Returns the value of the row.
    pub(crate) fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head of strings and numbers has a JSON form")
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // `skip_serializing_if` passes a reference.
fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// Returns whether an id can be used in a key.
pub(crate) fn is_valid_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(allowed)
}

/// Returns the name of the part that holds a job's rows.
pub(crate) fn part(job: &str) -> String {
    format!("p{}", fingerprint(job.as_bytes()) % PARTS)
}

/// Returns the names of all parts.
pub(crate) fn parts() -> impl Iterator<Item = String> {
    (0..PARTS).map(|part| format!("p{part}"))
}

/// Returns the key of a job's head.
pub(crate) fn head_key(job: &str) -> String {
    format!("{HEADS_TABLE}@{}/{job}", part(job))
}

/// Returns the key of a chunk of the submission, or the key prefix of all chunks.
pub(crate) fn submission_key(job: &str, chunk: Option<usize>) -> String {
    numbered_key("spec", job, chunk)
}

/// Returns the key prefix of the rows of one result, or that of all results.
pub(crate) fn result_key(job: &str, position: Option<usize>) -> String {
    numbered_key("result", job, position)
}

/// Returns the key prefix of the saved text of an unfinished item, or that of all items
/// if `item` is empty.
pub(crate) fn progress_key(job: &str, item: &str) -> String {
    format!("progress@{}/{job}/{item}", part(job))
}

fn numbered_key(table: &str, job: &str, number: Option<usize>) -> String {
    let prefix = format!("{table}@{}/{job}/", part(job));
    number.map_or(prefix.clone(), |number| format!("{prefix}{number:06}"))
}

/// Returns the position of a result and the number of the piece, from the key of a row.
pub(crate) fn parse_result_key(key: &str) -> Option<(usize, usize)> {
    let mut parts = key.rsplit('/');
    let piece = parts.next()?.parse().ok()?;
    Some((parts.next()?.parse().ok()?, piece))
}

/// Splits a text into pieces that fit into one row each.
pub(crate) fn split_text(text: &str, row_bytes: usize) -> Vec<&str> {
    let limit = (row_bytes / ROW_BYTES_DIVISOR).max(4);
    let mut pieces = Vec::new();
    let mut rest = text;
    while rest.len() > limit {
        let mut cut = limit;
        while !rest.is_char_boundary(cut) {
            cut -= 1;
        }
        let (piece, next) = rest.split_at(cut);
        pieces.push(piece);
        rest = next;
    }
    pieces.push(rest);
    pieces
}
