//! Autoscaling: plans how many targets each data centre runs, and orders targets to
//! start and stop. See `docs/design.md`, section 7.

mod action;
mod centre;
mod elastic;
mod fixed;
mod hysteresis;
mod input;
mod orders;
mod policy;
mod receiver;
mod record;
mod target_counts;

pub use action::Action;
pub use centre::DataCentreLoad;
pub use elastic::{Elastic, Settings};
pub use fixed::Fixed;
pub use input::Input;
pub use orders::Reconciler;
pub use policy::Policy;
pub use receiver::Receiver;
pub use record::Record;
pub use target_counts::TargetCounts;
