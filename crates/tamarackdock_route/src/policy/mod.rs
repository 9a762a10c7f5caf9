//! Policies that choose a target for a call.

mod affinity;
mod call;
mod round_robin;

#[cfg(test)]
mod tests;

pub use affinity::Affinity;
pub use call::Call;
pub use round_robin::RoundRobin;

use crate::{Key, table::Table};

/// Chooses a target for each call.
pub trait Policy {
    /// Returns a target that can take the call, or `None` if there is none.
    fn choose(&mut self, table: &Table, call: &Call<'_>) -> Option<Key>;
}
