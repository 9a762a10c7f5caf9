use tamarackdock_types::HostName;

use crate::{Content, DIGEST_BYTES, GOSSIP_REPEATS, Health, Membership, Message, Status};

impl Membership {
    /// Creates a message with a digest of bounded size. The digest starts with the receiver's own
    /// status if it has something to refute, followed by the changes that were sent least often
    /// and a sample of the other members, so that all members converge.
    pub(crate) fn message(&mut self, to: &HostName, content: Content, random: u64) -> Message {
        let mut digest = Vec::new();
        let mut left = DIGEST_BYTES;
        for name in self.by_priority(to, random) {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let Some(rest) = left.checked_sub(member.entry.status.bytes()) else { break };
            left = rest;
            member.transmissions = member.transmissions.saturating_add(1);
            digest.push(member.entry.status.clone());
        }
        Message { content, sender: self.own.clone(), digest }
    }

    fn by_priority(&self, to: &HostName, random: u64) -> Vec<HostName> {
        let not_alive = |status: &Status| status.health != Health::Alive;
        let receiver = self.members.get(to).filter(|member| not_alive(&member.entry.status));
        let mut changes: Vec<_> =
            self.members.values().filter(|member| member.transmissions < GOSSIP_REPEATS).collect();
        changes.sort_by_key(|member| member.transmissions);
        // Dead or suspect members come first in the sample, so that members with newer
        // information can correct their status.
        let all = || crate::membership::rotated(&self.members, random).map(|(_, member)| member);
        let unhealthy =
            all().filter(|member| not_alive(&member.entry.status)).take(UNHEALTHY_SAMPLE);
        let sample = unhealthy.chain(all());
        let mut names: Vec<HostName> = Vec::new();
        for member in receiver
            .into_iter()
            .chain(changes.into_iter().take(MAX_CANDIDATES))
            .chain(sample.take(MAX_CANDIDATES))
        {
            let name = &member.entry.status.host;
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }
}

/// Number of dead or suspect members that the sample starts with.
const UNHEALTHY_SAMPLE: usize = 1;
/// Candidates from each source, more than fit into a digest.
const MAX_CANDIDATES: usize = 8;
