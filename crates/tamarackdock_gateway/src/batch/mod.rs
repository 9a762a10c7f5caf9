//! Batch jobs: requests that are submitted together and run in the background. The
//! section "Batch jobs" of `docs/platform-system.md` describes the protocol between
//! nodes.

pub(crate) mod access;
pub(crate) mod backoff;
pub(crate) mod commit;
pub(crate) mod end;
pub(crate) mod estimate;
pub(crate) mod index;
pub(crate) mod job;
pub(crate) mod lease;
pub(crate) mod lifetime;
pub(crate) mod load;
pub(crate) mod migrate;
pub(crate) mod part;
pub(crate) mod placement;
pub(crate) mod progress;
pub(crate) mod read;
pub(crate) mod rows;
pub(crate) mod run;
pub(crate) mod save;
pub(crate) mod schedule;
pub(crate) mod score;
pub(crate) mod scoring;
pub(crate) mod submit;
pub(crate) mod takeover;

mod page;
mod submission;

pub use page::{ItemOutcome, ItemResult, Page};
pub use submission::{Item, ScoringCall, Submission, SubmissionReader};

#[cfg(test)]
mod tests;
