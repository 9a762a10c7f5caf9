//! Leases with fencing, stored in the compare-and-swap table service. See
//! `docs/design.md`, section 4.

mod action;
mod deadline;
mod held;
mod holder_row;
mod input;
mod lease;
mod observed_row;
mod operation_ids;
mod pending;
mod row;
mod timing;

pub use action::Action;
pub use deadline::Deadline;
pub use held::HeldLease;
pub use holder_row::HolderRow;
pub use input::Input;
pub use lease::Lease;
pub use operation_ids::OperationIds;
pub use row::{Row, RowError};
pub use timing::{Timing, TimingError};
