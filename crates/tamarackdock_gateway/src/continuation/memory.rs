//! The streams that a node remembers.

use std::collections::{BTreeMap, VecDeque};

use tamarackdock_types::clock::Instant;

use super::{KEEP_FOR, Key, MAX_STREAMS};
use crate::target::Software;

/// The streams that this node knows of.
#[derive(Debug, Default)]
pub(crate) struct Beginnings {
    software: BTreeMap<Key, (Software, Instant)>,
    /// Streams in the order in which they were recorded. One that was recorded again is there
    /// more than once.
    order: VecDeque<(Key, Instant)>,
}

impl Beginnings {
    /// Records which software began a stream. Forgets old streams, and the oldest ones beyond
    /// [`MAX_STREAMS`].
    pub(crate) fn record(&mut self, stream: Key, software: Software, now: Instant) {
        self.software.insert(stream, (software, now));
        self.order.push_back((stream, now));
        while let Some((oldest, at)) = self.order.front().copied()
            && (self.order.len() > MAX_STREAMS || now.since(at) >= KEEP_FOR)
        {
            self.order.pop_front();
            if self.software.get(&oldest).is_some_and(|(_, recorded)| *recorded == at) {
                self.software.remove(&oldest);
            }
        }
    }

    /// Returns which software began a stream, if this node knows it.
    pub(crate) fn get(&self, stream: Key, now: Instant) -> Option<Software> {
        let known = self.software.get(&stream).filter(|(_, at)| now.since(*at) < KEEP_FOR);
        known.map(|(software, _)| software.clone())
    }
}
