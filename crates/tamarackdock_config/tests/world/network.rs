use super::node::{DATA_CENTRES, NODES, data_centre_index};

/// Whether a node can reach the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StoreAccess {
    Up,
    Down,
    ResponseLost,
}

#[derive(Debug, Clone)]
pub(crate) struct Conditions {
    /// Whether data centres 0-1, 1-2 and 0-2 are connected.
    pub(crate) links: [bool; DATA_CENTRES],
    pub(crate) stores: [StoreAccess; NODES],
    pub(crate) loss_percent: u64,
    pub(crate) delay_ms: u64,
    pub(crate) store_delay_ms: u64,
}

impl Conditions {
    pub(crate) fn good(stores: [StoreAccess; NODES]) -> Self {
        Self {
            links: [true; DATA_CENTRES],
            stores,
            loss_percent: 0,
            delay_ms: 100,
            store_delay_ms: 100,
        }
    }
}

#[derive(Debug)]
pub(crate) struct Network {
    pub(crate) conditions: Conditions,
    random_state: u64,
}

impl Network {
    pub(crate) const fn new(seed: u64, conditions: Conditions) -> Self {
        Self { conditions, random_state: seed }
    }

    /// Returns the next number of the `SplitMix64` generator.
    pub(crate) const fn random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) const fn below(&mut self, bound: u64) -> u64 {
        self.random() % bound
    }

    pub(crate) const fn store_access(&self, node: usize) -> StoreAccess {
        self.conditions.stores[node]
    }

    pub(crate) const fn store_delay(&mut self, _node: usize) -> u64 {
        1 + self.below(self.conditions.store_delay_ms)
    }

    fn linked(&self, a: usize, b: usize) -> bool {
        let links = self.conditions.links;
        a == b || links[if a + b == 2 { 2 } else { a.min(b) }]
    }

    /// Returns the delays of the copies of a message that arrive: none, one or two.
    pub(crate) fn deliver(&mut self, from: usize, to: usize) -> Vec<u64> {
        let Conditions { loss_percent, delay_ms, .. } = self.conditions;
        let lost = !self.linked(data_centre_index(from), data_centre_index(to))
            || self.below(100) < loss_percent;
        let copies = if lost { 0 } else { 1 + usize::from(self.below(10) == 0) };
        (0..copies).map(|_| 1 + self.below(delay_ms)).collect()
    }

    /// Returns the nodes that `node` can reach, directly or through other data centres.
    pub(crate) fn live(&self, node: usize) -> Vec<usize> {
        let own = data_centre_index(node);
        let reached = |other: usize| {
            self.linked(own, other)
                || (0..DATA_CENTRES).any(|via| self.linked(own, via) && self.linked(via, other))
        };
        (0..NODES).filter(|other| *other != node && reached(data_centre_index(*other))).collect()
    }
}
