use super::{Action, Message, Propagation, propagation::send};
use crate::{
    accept::Head,
    version::{Checksum, Delta, Number, Snapshot},
};

impl Propagation {
    /// Takes a head that was read. Failed reads are left out, the next poll
    /// repeats them.
    #[must_use]
    pub fn head(&self, head: &Head) -> Vec<Action> {
        let own = self.active.number();
        let stale = head.number == own && head.checksum != self.active.checksum();
        if head.number < own || (head.number == own && !stale) {
            return Vec::new();
        }
        let missing = usize::try_from(head.number.0 - own.0).unwrap_or(usize::MAX);
        if stale || own == Number::default() || missing > super::MAX_DELTAS {
            return vec![read_copy(head.number, head.checksum)];
        }
        vec![Action::ReadDeltas { after: own, last: head.number }]
    }

    /// Takes the deltas that were read; `head` is the head that named them.
    /// Missing or damaged ones lead to a read of the full copy.
    pub fn deltas(&mut self, head: &Head, deltas: Vec<Delta>) -> Vec<Action> {
        let (mut actions, _) = self.apply(deltas);
        if self.active.number() < head.number {
            actions.push(read_copy(head.number, head.checksum));
        }
        actions
    }

    /// Takes a full copy from the object store, or `None` if there is none or it
    /// can't be read; then a peer chosen by `random` is asked.
    pub fn copy(&mut self, head: &Head, bytes: Option<&[u8]>, random: u64) -> Vec<Action> {
        let own = (self.active.number(), self.active.checksum());
        let newer = head.number > own.0 || (head.number == own.0 && head.checksum != own.1);
        let copy = bytes.map(|bytes| Snapshot::from_bytes(head.number, head.checksum, bytes));
        match copy {
            _ if !newer => Vec::new(),
            Some(Ok(copy)) => self.activate(copy),
            _ => {
                let peer = self.peers.any(random);
                peer.map(|to| send(to, Message::AskFull)).into_iter().collect()
            }
        }
    }
}

const fn read_copy(number: Number, checksum: Checksum) -> Action {
    Action::ReadCopy { number, checksum }
}
