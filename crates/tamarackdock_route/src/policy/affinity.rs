use std::cmp::Reverse;

use super::{Call, Policy};
use crate::{Key, Target, hash::score, table::Table};

/// Largest load of a target, in percent of its proportional share of all calls.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Number of targets with the best rendezvous scores, of which the least loaded
/// is chosen. Each prefix is then cached on two targets, which halves the longest
/// queue at twice the cache use.
const RANKED_TARGETS: usize = 2;

/// Policy of rendezvous hashing on the prompt prefix, with a bound on load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Affinity;

impl Policy for Affinity {
    fn choose(&mut self, table: &Table, call: &Call<'_>) -> Option<Key> {
        let candidates: Vec<(Key, &Target)> = call.candidates(table).collect();
        let total_calls: u64 = candidates.iter().map(|(_, target)| u64::from(target.calls())).sum();
        let total_limit: u64 = candidates.iter().map(|(_, target)| u64::from(target.limit())).sum();
        let mut ranked: Vec<(Key, &Target)> = candidates
            .into_iter()
            .filter(|(_, target)| {
                u64::from(target.calls()) < load_bound(target, total_calls, total_limit)
            })
            .collect();
        ranked.sort_unstable_by_key(|(_, target)| Reverse(score(target.hash, call.prefix)));
        ranked.truncate(RANKED_TARGETS);
        let chosen = ranked.into_iter().min_by(|(_, left), (_, right)| {
            let by_load = scaled_load(left, right).cmp(&scaled_load(right, left));
            let is_remote = |target: &Target| target.spec.data_centre != *call.own_data_centre;
            by_load.then(is_remote(left).cmp(&is_remote(right)))
        });
        chosen.map(|(key, _)| key)
    }
}

/// Returns the largest number of calls that a target may have, the new one
/// included. The bounds of all targets sum to more than all calls, so that at
/// least one target is always below its bound.
fn load_bound(target: &Target, total_calls: u64, total_limit: u64) -> u64 {
    let share = LOAD_BOUND_PERCENT * (total_calls + 1) * u64::from(target.limit());
    share.div_ceil(100 * total_limit.max(1))
}

/// Returns the calls of `left` times the limit of `right`. Compared with
/// `scaled_load(right, left)`, it orders two targets by calls per limit without a
/// division.
fn scaled_load(left: &Target, right: &Target) -> u64 {
    u64::from(left.calls()) * u64::from(right.limit())
}
