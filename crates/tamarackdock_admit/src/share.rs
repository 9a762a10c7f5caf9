//! Shares of the nodes in the capacity that they use together.

use std::collections::BTreeMap;

use tamarackdock_types::{AccountName, HostName};

/// Part of the capacity that is split evenly, in percent. With it, a node that
/// was idle can start calls before the others know of its demand.
const EVEN_PERCENT: u64 = 5;

/// Demand of one client account on one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Weight of the account in the fair split; 0 counts as 1.
    pub weight: u32,
    /// Tokens of the account's started and waiting calls on the node.
    pub tokens: u64,
}

/// Demand by node and account.
pub type Demands = BTreeMap<HostName, BTreeMap<AccountName, Demand>>;

/// Returns each node's share of `capacity` tokens. The shares sum to at most
/// the capacity, so that limits hold over all nodes that have the same input.
///
/// Accounts get weighted max-min fair parts of the capacity, and each part is
/// split over the nodes in proportion to the account's demand there. Capacity
/// that no account demands is split evenly.
#[must_use]
pub fn split(capacity: u64, demands: &Demands) -> BTreeMap<&HostName, u64> {
    let nodes = demands.len().max(1) as u64;
    let fair = capacity - capacity * EVEN_PERCENT / 100;
    let mut accounts: BTreeMap<&AccountName, Demand> = BTreeMap::new();
    for (account, demand) in demands.values().flatten() {
        let sum = accounts.entry(account).or_insert(Demand { weight: demand.weight, tokens: 0 });
        sum.tokens += demand.tokens;
    }
    let parts = max_min(fair, &accounts);
    let unassigned = capacity - parts.values().sum::<u64>();
    let of_node = |node: &BTreeMap<AccountName, Demand>| -> u64 {
        let part = |(account, demand): (&AccountName, &Demand)| {
            scale(parts[account], demand.tokens, accounts[account].tokens)
        };
        node.iter().map(part).sum()
    };
    demands.iter().map(|(host, node)| (host, of_node(node) + unassigned / nodes)).collect()
}

/// Splits the capacity by weighted max-min fairness: small demands are met in
/// full, and the rest is split by weight.
fn max_min<'a>(
    capacity: u64,
    accounts: &BTreeMap<&'a AccountName, Demand>,
) -> BTreeMap<&'a AccountName, u64> {
    let mut order: Vec<(&AccountName, Demand)> =
        accounts.iter().map(|(name, demand)| (*name, *demand)).collect();
    let weight = |demand: &Demand| u64::from(demand.weight.max(1));
    order.sort_by(|(_, left), (_, right)| {
        let weighted =
            |one: &Demand, other: &Demand| u128::from(one.tokens) * u128::from(weight(other));
        weighted(left, right).cmp(&weighted(right, left))
    });
    let mut weights: u64 = order.iter().map(|(_, demand)| weight(demand)).sum();
    let mut remaining = capacity;
    let mut parts = BTreeMap::new();
    for (name, demand) in order {
        let part = demand.tokens.min(scale(remaining, weight(&demand), weights));
        parts.insert(name, part);
        remaining -= part;
        weights -= weight(&demand);
    }
    parts
}

/// Returns `value * part / whole` without overflow.
fn scale(value: u64, part: u64, whole: u64) -> u64 {
    let scaled = u128::from(value) * u128::from(part) / u128::from(whole.max(1));
    u64::try_from(scaled).unwrap_or(u64::MAX)
}
