//! Membership and liveness of nodes. Probes between members correct the platform's host list,
//! which lags. See `docs/design.md`, section 4, "Membership".

mod action;
mod digest;
mod entry;
mod health;
mod host_list;
mod member;
mod membership;
mod message;
mod probe;
mod receive;
mod status;
mod timing;

pub use action::Action;
pub use entry::{Entry, Peer};
pub use health::Health;
pub use host_list::Host;
pub use membership::Membership;
pub use message::{Content, Message};
pub use status::Status;
pub use timing::{
    DEAD_PROBES, DIGEST_BYTES, FORGET_AFTER, GOSSIP_REPEATS, INDIRECT_AFTER, INDIRECT_PROBES,
    MESSAGE_BYTES, PROBE_PERIOD, SUSPECT_FOR, detection_bound,
};
