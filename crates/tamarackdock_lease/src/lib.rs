//! Leases over the compare-and-swap table service, with fencing. See
//! `docs/design.md`, section 4.

mod action;
mod deadline;
mod held;
mod input;
mod lease;
mod operations;
mod pending;
mod row;
mod seen;
mod terms;

pub use action::Action;
pub use deadline::Deadline;
pub use held::Held;
pub use input::Input;
pub use lease::Lease;
pub use operations::Operations;
pub use row::{Row, RowError};
pub use terms::{Terms, TermsError};
