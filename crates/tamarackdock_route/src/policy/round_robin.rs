use super::{Call, Policy};
use crate::{Key, table::Table};

/// The baseline: each target in turn.
#[derive(Debug, Clone, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn choose(&mut self, table: &Table, call: &Call<'_>) -> Option<Key> {
        let candidates: Vec<Key> = call.candidates(table).map(|(key, _)| key).collect();
        let turn = self.turn.checked_rem(candidates.len())?;
        self.turn = self.turn.wrapping_add(1);
        candidates.get(turn).copied()
    }
}
