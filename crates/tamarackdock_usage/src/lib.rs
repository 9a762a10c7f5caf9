//! Usage per client account and window. It is counted on the nodes, sealed once and always
//! reported with the same bytes. See `docs/design.md`, section 7.

mod action;
mod batch;
mod copies;
mod counter;
mod counts;
mod flush;
mod input;
mod keys;
mod report;
mod reporter;
mod rows;
mod settings;
mod usage_totals;

pub use action::Action;
pub use batch::Batch;
pub use copies::Copies;
pub use counter::Counter;
pub use counts::Counts;
pub use input::Input;
pub use keys::NodeRun;
pub use report::{Line, Report};
pub use reporter::Reporter;
pub use rows::{Cursor, NodeRow, State, WindowRow};
pub use settings::Settings;
pub use usage_totals::UsageTotals;
