use std::collections::{BTreeMap, HashMap};

use super::text::{hash, mix};

/// Size of a cached block of a prompt in bytes.
const BLOCK_BYTES: usize = 64;

/// Prompt prefixes, as least recently used blocks. A block's key covers
/// everything before it.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    tick: u64,
    ticks: HashMap<u64, u64>,
    keys: BTreeMap<u64, u64>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, tick: 0, ticks: HashMap::new(), keys: BTreeMap::new() }
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

    /// Marks a block as used last and returns whether it was there.
    fn touch(&mut self, key: u64) -> bool {
        self.tick += 1;
        let before = self.ticks.insert(key, self.tick);
        before.map(|tick| self.keys.remove(&tick));
        self.keys.insert(self.tick, key);
        while self.keys.len() > self.capacity {
            if let Some((_, oldest)) = self.keys.pop_first() {
                self.ticks.remove(&oldest);
            }
        }
        before.is_some()
    }
}
