//! Propagates accepted versions to all nodes. See `docs/design.md`, section 4.

mod action;
mod message;
mod peer;
mod peers;
mod propagation;
mod receive;
mod store;
mod timing;

pub use action::Action;
pub use message::Message;
pub use propagation::Propagation;
pub use timing::{
    ANNOUNCE_FANOUT, ANNOUNCE_INTERVAL, MAX_DELTAS, POLL_INTERVAL, PUSH_FANOUT, PUSH_INTERVAL,
    PUSH_ROUNDS,
};
