//! Which path the requests of a host take to the targets: the host's own, or one through another
//! host.
//!
//! The load that this is made for is a host that loses its paths to all targets for seconds,
//! while callers, the store and other hosts still reach it: by itself, with most others, or with
//! its whole data centre. Up to then it has some calls a second or the streams of a step in
//! progress. What it observes says something of its own paths first, and only the failure of
//! several targets at once tells the two apart. A target that is dead for all hosts must not send
//! requests on a detour.
//!
//! Everything here is a pure state machine with the time as an input. `docs/platform-system.md`,
//! section "Paths to the targets", describes the tasks around it.

mod forwarders;
mod paths;

pub use forwarders::{Forwarders, Refusal};
pub use paths::{Doubt, PROBE_INTERVAL, Paths, Route, SILENCE};

#[cfg(test)]
mod tests;
