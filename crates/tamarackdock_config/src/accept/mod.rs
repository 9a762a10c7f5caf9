//! Acceptance of a submitted configuration by compare-and-swap in the table service. See
//! `docs/design.md`, section 4, and `docs/platform.md`, table service.

mod action;
mod event;
mod head;
mod outcome;
mod submission;

pub use action::{Action, Condition, Write};
pub use event::{Event, Row, Rows};
pub use head::{HEAD_KEY, Head, object_name, version_key};
pub use outcome::{Accepted, Rejection};
pub use submission::{COMMIT_LIFETIME, RETRY_AFTER, Submission};
