use std::cmp::Reverse;

use super::{Call, Policy};
use crate::{Key, Target, hash::score, table::Table};

/// Load bound of a target in percent of its proportional share.
const BOUND_PERCENT: u64 = 125;
/// Targets in rendezvous order that are weighed by load. Prefixes are then
/// cached on two targets, which halves the worst queue at twice the cache use.
const CHOICES: usize = 2;

/// Rendezvous hashing on the prompt prefix with a bound on load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Affinity;

impl Policy for Affinity {
    fn choose(&mut self, table: &Table, call: &Call<'_>) -> Option<Key> {
        let candidates: Vec<(Key, &Target)> = call.candidates(table).collect();
        let calls: u64 = candidates.iter().map(|(_, target)| u64::from(target.calls())).sum();
        let limits: u64 = candidates.iter().map(|(_, target)| u64::from(target.limit())).sum();
        let mut ranked: Vec<(Key, &Target)> = candidates
            .into_iter()
            .filter(|(_, target)| u64::from(target.calls()) < bound(target, calls, limits))
            .collect();
        ranked.sort_unstable_by_key(|(_, target)| Reverse(score(target.hash, call.prefix)));
        ranked.truncate(CHOICES);
        let chosen = ranked.into_iter().min_by(|(_, left), (_, right)| {
            let by_load = share(left, right).cmp(&share(right, left));
            let is_away = |target: &Target| target.spec.data_centre != *call.home;
            by_load.then(is_away(left).cmp(&is_away(right)))
        });
        chosen.map(|(key, _)| key)
    }
}

/// Returns the most calls that a target may have, with the new one. The
/// bounds sum up to more than all calls, so that one target is always below.
fn bound(target: &Target, calls: u64, limits: u64) -> u64 {
    let share = BOUND_PERCENT * (calls + 1) * u64::from(target.limit());
    share.div_ceil(100 * limits.max(1))
}

/// Returns `left`'s load scaled so that it compares with `share(right, left)`.
fn share(left: &Target, right: &Target) -> u64 {
    u64::from(left.calls()) * u64::from(right.limit())
}
