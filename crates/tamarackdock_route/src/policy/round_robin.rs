use super::{Call, Policy};
use crate::{Key, table::Table};

/// Baseline policy that takes each target in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn choose(&mut self, table: &Table, call: &Call<'_>) -> Option<Key> {
        let candidates: Vec<Key> = call.candidates(table).map(|(key, _)| key).collect();
        let index = self.next.checked_rem(candidates.len())?;
        self.next = self.next.wrapping_add(1);
        candidates.get(index).copied()
    }
}
