use tamarackdock_types::clock::Instant;

use crate::{Entry, GOSSIP_REPEATS};

/// A member as one node sees it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) entry: Entry,
    /// When the health last changed here.
    pub(crate) since: Instant,
    /// Messages that have carried the entry since it changed.
    pub(crate) told: u32,
    /// Whether the platform lists the host.
    pub(crate) listed: bool,
}

impl Member {
    pub(crate) const fn new(entry: Entry, now: Instant, listed: bool) -> Self {
        // A host from the list is no news, as all nodes read the list.
        let told = if listed { GOSSIP_REPEATS } else { 0 };
        Self { entry, since: now, told, listed }
    }
}
