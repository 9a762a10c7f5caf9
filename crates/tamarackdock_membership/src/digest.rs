use tamarackdock_types::HostName;

use crate::{Content, DIGEST_BYTES, GOSSIP_REPEATS, Health, Membership, Message, Status};

impl Membership {
    /// Makes a message with a digest of bounded size: the receiver if it has
    /// something to refute, the news that was told least often, and a sample of
    /// the others, so that all members agree in the end.
    pub(crate) fn message(&mut self, to: &HostName, content: Content, random: u64) -> Message {
        let mut digest = Vec::new();
        let mut left = DIGEST_BYTES;
        for name in self.order(to, random) {
            let Some(member) = self.members.get_mut(&name) else { continue };
            let Some(rest) = left.checked_sub(member.entry.status.bytes()) else { break };
            left = rest;
            member.told = member.told.saturating_add(1);
            digest.push(member.entry.status.clone());
        }
        Message { content, sender: self.own.clone(), digest }
    }

    fn order(&self, to: &HostName, random: u64) -> Vec<HostName> {
        let refutable = |status: &Status| status.health != Health::Alive;
        let receiver = self.members.get(to).filter(|member| refutable(&member.entry.status));
        let mut news: Vec<_> =
            self.members.values().filter(|member| member.told < GOSSIP_REPEATS).collect();
        news.sort_by_key(|member| member.told);
        // Members held for dead or suspect come first in the sample, so that those
        // who know better can correct it.
        let all = || crate::membership::rotated(&self.members, random).map(|(_, member)| member);
        let doubtful = all().filter(|member| refutable(&member.entry.status)).take(DOUBTFUL);
        let sample = doubtful.chain(all());
        let mut names: Vec<HostName> = Vec::new();
        for member in
            receiver.into_iter().chain(news.into_iter().take(MOST)).chain(sample.take(MOST))
        {
            let name = &member.entry.status.host;
            if !names.contains(name) {
                names.push(name.clone());
            }
        }
        names
    }
}

/// Dead or suspect members in the sample.
const DOUBTFUL: usize = 1;
/// More entries than fit into a digest.
const MOST: usize = 8;
