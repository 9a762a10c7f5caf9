use std::collections::BTreeMap;

use tamarackdock_types::HostName;

use super::peer::Peer;
use crate::version::VersionNumber;

/// The other nodes, with the versions that are known to be active on them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    by_name: BTreeMap<HostName, Peer>,
    /// Index of the peer whose turn is next.
    next: usize,
}

impl Peers {
    /// Replaces the list of peers and keeps the versions of those that remain.
    pub(crate) fn replace(&mut self, names: impl IntoIterator<Item = HostName>) {
        let mut old = std::mem::take(&mut self.by_name);
        let kept = |name: HostName| {
            let peer = old.remove(&name).unwrap_or_default();
            (name, peer)
        };
        self.by_name = names.into_iter().map(kept).collect();
    }

    /// Records a version that a peer named. Unknown peers are ignored.
    pub(crate) fn record(&mut self, name: &HostName, version: VersionNumber) {
        if let Some(peer) = self.by_name.get_mut(name) {
            peer.version = Some(version);
        }
    }

    /// Returns the peers on which `version` or a later one is known to be active.
    pub(crate) fn at_least(&self, version: VersionNumber) -> impl Iterator<Item = &HostName> {
        let known = move |peer: &Peer| peer.version.is_some_and(|known| known >= version);
        self.by_name.iter().filter(move |(_, peer)| known(peer)).map(|(name, _)| name)
    }

    /// Chooses up to `count` peers that are not known to have `version`, starting
    /// at a random one. Returns them with the version that they named last.
    pub(crate) fn behind(
        &self,
        version: VersionNumber,
        count: usize,
        random: u64,
    ) -> Vec<(HostName, Option<VersionNumber>)> {
        let behind = |peer: &Peer| peer.version.is_none_or(|known| known < version);
        self.rotated(random)
            .filter(|(_, peer)| behind(peer))
            .take(count)
            .map(|(name, peer)| (name.clone(), peer.version))
            .collect()
    }

    /// Chooses the next `count` peers in turn, so that each peer has its turn
    /// within a fixed number of rounds.
    pub(crate) fn in_turn(&mut self, count: usize) -> Vec<HostName> {
        let start = u64::try_from(self.next).unwrap_or_default();
        let chosen: Vec<_> =
            self.rotated(start).take(count).map(|(name, _)| name.clone()).collect();
        self.next = (self.next + chosen.len()) % self.by_name.len().max(1);
        chosen
    }

    /// Chooses a peer at random, if there is one.
    pub(crate) fn choose(&self, random: u64) -> Option<HostName> {
        self.rotated(random).next().map(|(name, _)| name.clone())
    }

    fn rotated(&self, start: u64) -> impl Iterator<Item = (&HostName, &Peer)> {
        let len = self.by_name.len();
        let remainder = start % u64::try_from(len).unwrap_or(1).max(1);
        let start = usize::try_from(remainder).unwrap_or_default();
        self.by_name.iter().cycle().skip(start).take(len)
    }
}
