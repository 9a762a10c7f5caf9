use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use tamarackdock_rollout::{request::Request, sample::Sample, slot::Slot};

/// The fake trainer. It keeps every response, to compare it with later reads at
/// the same cursor.
#[derive(Default)]
pub(super) struct Trainer {
    pub(super) cursor: u32,
    pub(super) acknowledged: u32,
    pages: BTreeMap<u32, Vec<Bytes>>,
    pub(super) slots: BTreeSet<Slot>,
    tokens: BTreeSet<u32>,
    /// Groups in the order of delivery.
    pub(super) groups: Vec<u32>,
}

impl Trainer {
    /// Records a response that was sent and may still be lost.
    pub(super) fn record_response(&mut self, cursor: u32, samples: &[Bytes]) {
        let page = self.pages.entry(cursor).or_insert_with(|| samples.to_vec());
        assert_eq!(page, samples, "reads at cursor {cursor} returned different bytes");
    }

    /// Receives a response and returns the samples that are new.
    pub(super) fn receive(&mut self, cursor: u32, next: u32, samples: &[Bytes]) -> Vec<Sample> {
        if cursor != self.cursor {
            return Vec::new();
        }
        self.cursor = next;
        let decode = |body: &Bytes| serde_json::from_slice(body).expect("a sample decodes");
        let samples: Vec<Sample> = samples.iter().map(decode).collect();
        for sample in &samples {
            if sample.slot.index == 0 {
                self.groups.push(sample.slot.group);
            }
            assert!(
                self.slots.insert(sample.slot.clone()),
                "{:?} was delivered twice",
                sample.slot
            );
            let new = sample.tokens.iter().all(|token| self.tokens.insert(*token));
            assert!(new, "a token was delivered twice");
        }
        samples
    }

    pub(super) fn is_done(&self, request: &Request) -> bool {
        self.slots.len() == request.samples() as usize
    }
}
