use tamarackdock_types::HostName;

use super::{Action, Message, Propagation, propagation::send};
use crate::version::{Checksum, Delta, Snapshot, VersionNumber};

impl Propagation {
    /// Handles a message of a peer.
    pub fn receive(&mut self, from: &HostName, message: Message) -> Vec<Action> {
        match message {
            Message::Announce(number) => self.received_announce(from, number),
            Message::Ask(after) => self.received_ask(from, after),
            Message::AskFull => vec![send(from.clone(), self.full_message())],
            Message::Deltas(deltas) => self.received_deltas(from, deltas),
            Message::Full { number, checksum, bytes } => {
                self.received_full(from, number, checksum, &bytes)
            }
        }
    }

    fn received_announce(&mut self, from: &HostName, number: VersionNumber) -> Vec<Action> {
        self.peers.record(from, number);
        let own = self.active.number();
        match number.cmp(&own) {
            std::cmp::Ordering::Greater => vec![send(from.clone(), Message::Ask(own))],
            std::cmp::Ordering::Less => vec![send(from.clone(), self.catch_up_message(number))],
            std::cmp::Ordering::Equal => Vec::new(),
        }
    }

    fn received_ask(&mut self, from: &HostName, after: VersionNumber) -> Vec<Action> {
        self.peers.record(from, after);
        let behind = after < self.active.number();
        behind.then(|| send(from.clone(), self.catch_up_message(after))).into_iter().collect()
    }

    fn received_deltas(&mut self, from: &HostName, deltas: Vec<Delta>) -> Vec<Action> {
        let Some(last) = deltas.last().map(|delta| delta.number) else { return Vec::new() };
        let origin = deltas.last().map(|delta| delta.origin.clone());
        self.peers.record(from, last);
        let before = self.active.number();
        let (mut actions, damaged) = self.apply(deltas);
        let own = self.active.number();
        actions.push(match own < last {
            true if damaged => send(from.clone(), Message::AskFull),
            true => send(from.clone(), Message::Ask(own)),
            false => send(from.clone(), Message::Announce(own)),
        });
        // The host that accepted the version tracks on which hosts it is active.
        let origin = origin.filter(|origin| own > before && origin != from && *origin != self.host);
        actions.extend(origin.map(|origin| send(origin, Message::Announce(own))));
        actions
    }

    fn received_full(
        &mut self,
        from: &HostName,
        number: VersionNumber,
        checksum: Checksum,
        bytes: &[u8],
    ) -> Vec<Action> {
        self.peers.record(from, number);
        let mut actions = Vec::new();
        if number > self.active.number() {
            match Snapshot::from_bytes(number, checksum, bytes) {
                Ok(copy) => actions.extend(self.activate(copy)),
                Err(_) => return Vec::new(),
            }
        }
        actions.push(send(from.clone(), Message::Announce(self.active.number())));
        actions
    }
}
