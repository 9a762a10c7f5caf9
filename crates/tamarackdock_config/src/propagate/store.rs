use super::{Action, Message, Propagation, propagation::send};
use crate::{
    accept::Head,
    version::{Checksum, Delta, Snapshot, VersionNumber},
};

impl Propagation {
    /// Handles a head that was read. Failed reads are not passed here, since the next poll
    /// repeats them.
    #[must_use]
    pub fn on_head(&self, head: &Head) -> Vec<Action> {
        let own = self.active.number();
        // A copy from a peer is not compared with the store when it is activated. If its content
        // differs from the store's version, the latter replaces it.
        let differs = head.number == own && head.checksum != self.active.checksum();
        if head.number < own || (head.number == own && !differs) {
            return Vec::new();
        }
        let missing = usize::try_from(head.number.0 - own.0).unwrap_or(usize::MAX);
        if differs || own == VersionNumber::default() || missing > super::MAX_DELTAS {
            return vec![read_copy(head.number, head.checksum)];
        }
        vec![Action::ReadDeltas { after: own, last: head.number }]
    }

    /// Handles the deltas that were read; `head` is the head that led to the read.
    /// If some are missing or damaged, the full copy is read.
    pub fn on_deltas(&mut self, head: &Head, deltas: Vec<Delta>) -> Vec<Action> {
        let (mut actions, _) = self.apply(deltas);
        if self.active.number() < head.number {
            actions.push(read_copy(head.number, head.checksum));
        }
        actions
    }

    /// Handles a full copy from the object store. If it is missing (`None`) or damaged, a full
    /// copy is requested from a peer chosen by `random`.
    pub fn on_copy(&mut self, head: &Head, bytes: Option<&[u8]>, random: u64) -> Vec<Action> {
        let own = (self.active.number(), self.active.checksum());
        let newer = head.number > own.0 || (head.number == own.0 && head.checksum != own.1);
        let copy = bytes.map(|bytes| Snapshot::from_bytes(head.number, head.checksum, bytes));
        match copy {
            _ if !newer => Vec::new(),
            Some(Ok(copy)) => self.activate(copy),
            _ => {
                let peer = self.peers.choose(random);
                peer.map(|to| send(to, Message::AskFull)).into_iter().collect()
            }
        }
    }
}

const fn read_copy(number: VersionNumber, checksum: Checksum) -> Action {
    Action::ReadCopy { number, checksum }
}
