//! Admission control of calls by client account, as state machines without I/O.
//! See `docs/design.md`, section 5.

mod action;
mod admission;
mod call;
pub mod fair;
mod fixed;
pub mod outlook;
mod rate;
pub mod share;

#[cfg(test)]
mod tests;

pub use action::Action;
pub use admission::Admission;
pub use call::{Call, Level};
pub use fair::Fair;
pub use fixed::Fixed;
