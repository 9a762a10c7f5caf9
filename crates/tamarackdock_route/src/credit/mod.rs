//! Credits that bound the load of all nodes on a cold target.
//!
//! One node grants them, chosen by rendezvous hashing over the live nodes. The
//! holder counts the validity of a grant from the time of its request, and the
//! granter from the time of its reply. The grant thus expires at the holder
//! first, and clocks of different nodes are never compared. Nodes must learn of
//! a changed set of live nodes within [`Timing::view_lag`], or stop granting: see
//! [`Granter::confirm`].

mod granter;
mod holder;
mod message;
mod ramp;
mod timing;

#[cfg(test)]
mod tests;

use tamarackdock_types::{HostName, TargetName};

pub use granter::Granter;
pub use holder::Holder;
pub use message::{Grant, Request};
pub use ramp::{Phase, Ramp};
pub use timing::Timing;

use crate::hash::{fingerprint, score};

/// Returns the node that grants credits for a target, or `None` if `live` is empty.
#[must_use]
pub fn granter<'a>(target: &TargetName, live: &'a [HostName]) -> Option<&'a HostName> {
    let hash = fingerprint(target.as_str().as_bytes());
    live.iter().max_by_key(|host| (score(fingerprint(host.as_str().as_bytes()), hash), *host))
}
