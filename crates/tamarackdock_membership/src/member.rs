use tamarackdock_types::clock::Instant;

use crate::{Entry, GOSSIP_REPEATS};

/// A member as one node sees it.
#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) entry: Entry,
    /// Time at which this node last changed the health or accepted a newer status.
    pub(crate) since: Instant,
    /// Number of messages that have carried the status since it changed or a peer was seen
    /// with an older one. Starts at `GOSSIP_REPEATS` if no gossip is needed.
    pub(crate) transmissions: u32,
    /// Whether the platform lists the host.
    pub(crate) listed: bool,
    /// Whether the platform has announced that the host leaves. The member's own status may not
    /// say so.
    pub(crate) removed: bool,
}

impl Member {
    pub(crate) const fn new(entry: Entry, now: Instant, listed: bool) -> Self {
        // A host from the list needs no gossip, since all nodes read the list.
        let transmissions = if listed { GOSSIP_REPEATS } else { 0 };
        Self { entry, since: now, transmissions, listed, removed: false }
    }
}
