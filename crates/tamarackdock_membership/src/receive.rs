use tamarackdock_types::{HostName, clock::Instant};

use crate::{
    Action, Content, Entry, Health, Membership, Message, Status,
    member::Member,
    probe::{Probe, Relay},
};

impl Membership {
    /// Handles a message of a member. `random` chooses the sample in the answer's digest.
    pub fn receive(&mut self, now: Instant, message: Message, random: u64) -> Vec<Action> {
        let Message { content, sender, digest } = message;
        let from = sender.status.host.clone();
        if from == self.own.status.host {
            return Vec::new();
        }
        let mut actions: Vec<_> = self.merge_sender(now, sender).into_iter().collect();
        actions.extend(digest.into_iter().filter_map(|status| self.merge(now, status)));
        match content {
            Content::Probe(number) => {
                actions.extend(self.send(&from, Content::Answer(number), random));
            }
            Content::Answer(number) => actions.extend(self.on_answer(number, random)),
            Content::ProbeFor { host, number } => {
                let probe_number = self.next_number();
                self.relays.insert(probe_number, Relay::new(from, number, now));
                actions.extend(self.send(&host, Content::Probe(probe_number), random));
            }
        }
        actions
    }

    fn on_answer(&mut self, number: u64, random: u64) -> Option<Action> {
        if matches!(&self.probe, Some(Probe { number: probe_number, .. }) if *probe_number == number)
        {
            self.probe = None;
            return None;
        }
        let relay = self.relays.remove(&number)?;
        self.send(&relay.to, Content::Answer(relay.number), random)
    }

    /// Merges the entry of the sender, which knows its own address best.
    fn merge_sender(&mut self, now: Instant, sender: Entry) -> Option<Action> {
        let Status { host, health, .. } = sender.status.clone();
        let Some(member) = self.members.get_mut(&host) else {
            self.members.insert(host.clone(), Member::new(sender, now, false));
            return Some(Action::Changed { host, health });
        };
        member.entry.address = sender.address;
        member.entry.data_centre = sender.data_centre;
        self.merge(now, sender.status)
    }

    fn merge(&mut self, now: Instant, status: Status) -> Option<Action> {
        if status.host == self.own.status.host {
            self.refute(&status);
            return None;
        }
        let Status { host, health, .. } = status.clone();
        let member = self.members.get_mut(&host)?;
        if !status.supersedes(&member.entry.status) {
            // If the sender's status is older, the next message, usually the answer, corrects it.
            let behind = member.entry.status.supersedes(&status);
            member.transmissions = if behind { 0 } else { member.transmissions };
            return None;
        }
        let changed = member.entry.status.health != health;
        member.entry.status = status;
        member.entry.status.leaving |= member.removed;
        member.transmissions = 0;
        member.since = now;
        changed.then_some(Action::Changed { host, health })
    }

    /// Raises this node's incarnation if others consider it suspect or dead, or know
    /// a later incarnation from before a restart.
    fn refute(&mut self, status: &Status) {
        let own = &mut self.own.status;
        let wrong = status.health != Health::Alive && status.incarnation >= own.incarnation;
        if wrong || status.incarnation > own.incarnation {
            own.incarnation = status.incarnation + 1;
        }
    }

    /// Returns this node's entry as it announces it to the other members.
    #[must_use]
    pub const fn own_entry(&self) -> &Entry {
        &self.own
    }

    /// Returns whether a member is leaving, by its own or the platform's announcement.
    #[must_use]
    pub fn is_leaving(&self, host: &HostName) -> bool {
        self.members.get(host).is_some_and(|member| member.entry.status.leaving)
    }
}
