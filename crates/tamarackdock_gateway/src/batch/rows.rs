//! Rows of batch jobs in the store. All rows of a job lie in one part, so that
//! one transaction can change them.

use serde::{Deserialize, Serialize};

use crate::{call::fingerprint, deployment::Name, members::Run};

/// Table of the heads of jobs, which all nodes follow.
pub(crate) const HEADS: &str = "job";
/// Parts over which jobs are spread. A part takes 200 transactions a second.
const PARTS: u64 = 16;
/// Longest id of a job or item. Keys of rows have at most 200 bytes.
const MAX_ID: usize = 64;
/// Share of the bound on a row's value that is used, as the bound may be meant
/// for the encoded value.
const ROW_SHARE: usize = 2;

/// The head of a job. Only its owner and who ends it write it, so that its
/// revision fences the owner's results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Head {
    /// Client account.
    pub(crate) account: Option<Name>,
    /// Host name of the route.
    pub(crate) host: String,
    /// Path of the submission, which selects the route.
    pub(crate) path: String,
    /// Model.
    pub(crate) model: Option<Name>,
    /// Number of the trainer's step.
    pub(crate) step: u64,
    /// Store time of the acceptance in milliseconds.
    pub(crate) accepted_ms: i64,
    /// Number of items.
    pub(crate) items: usize,
    /// Rows that hold the submission.
    pub(crate) chunks: usize,
    /// Estimated output tokens of all items.
    pub(crate) work: u64,
    /// Run of the node that runs the items, `None` after a planned stop.
    pub(crate) owner: Option<Run>,
    /// Number of owners so far.
    pub(crate) epoch: u64,
    /// Whether the client has ended the job.
    pub(crate) ended: bool,
}

impl Head {
    /// Returns the text of the row.
    pub(crate) fn encode(&self) -> String {
        serde_json::to_string(self).expect("a head of strings and numbers has a JSON form")
    }
}

/// Returns whether an id can be part of a key.
pub(crate) fn is_valid_id(id: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_ID).contains(&id.len()) && id.bytes().all(allowed)
}

/// Returns the part of a job's rows.
pub(crate) fn part(job: &str) -> String {
    format!("p{}", fingerprint(job.as_bytes()) % PARTS)
}

/// Returns all parts.
pub(crate) fn parts() -> impl Iterator<Item = String> {
    (0..PARTS).map(|part| format!("p{part}"))
}

/// Returns the key of a job's head.
pub(crate) fn head(job: &str) -> String {
    format!("{HEADS}@{}/{job}", part(job))
}

/// Returns the key of a part of the submission, or the prefix of all.
pub(crate) fn spec(job: &str, chunk: Option<usize>) -> String {
    numbered("spec", job, chunk)
}

/// Returns the key prefix of a result, or the prefix of all.
pub(crate) fn result(job: &str, position: Option<usize>) -> String {
    numbered("result", job, position)
}

/// Returns the key of the text of an item that is not listed, or the prefix of all.
pub(crate) fn progress(job: &str, item: &str) -> String {
    format!("progress@{}/{job}/{item}", part(job))
}

fn numbered(table: &str, job: &str, number: Option<usize>) -> String {
    let prefix = format!("{table}@{}/{job}/", part(job));
    number.map_or(prefix.clone(), |number| format!("{prefix}{number:06}"))
}

/// Returns the position of a result row and whether it is the first piece.
pub(crate) fn position(key: &str) -> Option<(usize, usize)> {
    let mut parts = key.rsplit('/');
    let piece = parts.next()?.parse().ok()?;
    Some((parts.next()?.parse().ok()?, piece))
}

/// Splits a text into pieces that fit into rows.
pub(crate) fn pieces(text: &str, row_bytes: usize) -> Vec<&str> {
    let limit = (row_bytes / ROW_SHARE).max(4);
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
