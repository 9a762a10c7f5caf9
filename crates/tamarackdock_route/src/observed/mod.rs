//! What hosts tell each other about the load and speed of targets, and the view that results, as
//! state machines without clock, socket or random source. Part B of `docs/design/hard-load.md`
//! specifies it.
//!
//! The intended load is a few hosts that each run the items of some trainers on the same targets,
//! and one that takes over the jobs of another and has measured nothing yet. Reports are advisory:
//! a host that receives none decides by its own observations.

mod fleet;
mod outbox;
mod report;

#[cfg(test)]
mod tests;

pub use fleet::{Fleet, Merged, Rejection};
pub use outbox::{Outbox, interval};
pub use report::{MAX_TARGETS, Observed, Report, Speed};
