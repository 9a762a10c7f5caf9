use tamarackdock_types::clock::Instant;

use crate::{Entry, FORGET_AFTER, Health, Membership, Peer, member::Member};

/// A host from the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Host {
    /// Name, address and data centre of its node.
    pub peer: Peer,
    /// Whether the platform has announced that the host leaves.
    pub leaving: bool,
}

impl Membership {
    /// Applies the platform's host list. The list lags, so unknown hosts become members,
    /// while known members keep the health that probes have found.
    pub fn set_hosts(&mut self, now: Instant, hosts: Vec<Host>) {
        self.members.values_mut().for_each(|member| member.listed = false);
        for Host { peer, leaving } in hosts {
            if peer.host == self.own.status.host {
                continue;
            }
            let name = peer.host.clone();
            let member = self
                .members
                .entry(name)
                .or_insert_with(|| Member::new(Entry::new(peer, leaving), now, true));
            member.listed = true;
            member.removed = leaving;
            member.entry.status.leaving |= leaving;
        }
        self.members.retain(|_, member| {
            let gone = member.entry.status.health == Health::Dead && !member.listed;
            !gone || now < member.since + FORGET_AFTER
        });
    }
}
