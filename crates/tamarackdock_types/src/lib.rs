//! Types shared by all crates: names, time, weight versions, fencing tokens,
//! key hashes and refusals. See `docs/design.md`, section 2.

pub mod call;
pub mod clock;
pub mod fence;
pub mod key;
mod name;
pub mod refusal;
pub mod weight;

pub use name::{
    AccountName, DataCentreName, HostName, NameError, ServiceName, TargetName, TrainerName,
};
