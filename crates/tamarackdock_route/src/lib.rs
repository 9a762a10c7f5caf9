//! Choice of a target for each call, as state machines without I/O.
//! See `docs/design.md`, section 5.

pub mod credit;
mod hash;
pub mod health;
pub mod latency;
mod load;
pub mod observed;
pub mod pace;
pub mod policy;
pub mod quarantine;
pub mod refusal;
pub mod retry;
pub mod subset;
pub mod table;
mod target;

pub use hash::fingerprint;
pub use load::Load;
pub use target::{Key, Spec, State, Target};
