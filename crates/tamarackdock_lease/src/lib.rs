//! Leases with fencing, stored in the compare-and-swap table service. See
//! `docs/design.md`, section 4.

mod action;
mod deadline;
mod held;
mod input;
mod lease;
mod observed_row;
mod operations;
mod pending;
mod row;
mod terms;

pub use action::Action;
pub use deadline::Deadline;
pub use held::Held;
pub use input::Input;
pub use lease::Lease;
pub use operations::Operations;
pub use row::{Row, RowError};
pub use terms::{Terms, TermsError};
