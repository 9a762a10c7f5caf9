use std::collections::{BTreeMap, HashMap};

use super::text::{hash, mix};

/// Size of a cached block of a prompt in bytes.
const BLOCK_BYTES: usize = 64;

/// Cache of prompt prefixes in blocks, of which the least recently used is evicted. A
/// block's key covers the block and everything before it.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Largest number of blocks.
    capacity: usize,
    /// Number of uses of blocks so far.
    uses: u64,
    /// Number of the last use of each block, by the block's key.
    last_uses: HashMap<u64, u64>,
    /// The same entries by number of the last use.
    keys_by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, uses: 0, last_uses: HashMap::new(), keys_by_use: BTreeMap::new() }
    }

    /// Caches a prompt and returns how many of its blocks were not cached.
    pub(super) fn insert(&mut self, prompt: &str) -> u32 {
        let mut key = 0;
        let mut missed = 0;
        for block in prompt.as_bytes().chunks(BLOCK_BYTES) {
            key = mix(key ^ hash(block));
            missed += u32::from(!self.touch(key));
        }
        missed
    }

    pub(super) fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    /// Adds a block or marks it as the last used one, and returns whether it was cached.
    fn touch(&mut self, key: u64) -> bool {
        self.uses += 1;
        let last_use = self.last_uses.insert(key, self.uses);
        last_use.map(|last_use| self.keys_by_use.remove(&last_use));
        self.keys_by_use.insert(self.uses, key);
        while self.keys_by_use.len() > self.capacity {
            if let Some((_, oldest)) = self.keys_by_use.pop_first() {
                self.last_uses.remove(&oldest);
            }
        }
        last_use.is_some()
    }
}
