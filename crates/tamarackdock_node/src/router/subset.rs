use std::{
    collections::{BTreeSet, HashSet},
    time::Duration,
};

use tamarackdock_route::{
    Key,
    subset::{Candidate, Node, assign},
};
use tamarackdock_types::{ServiceName, TargetName, clock::Instant};

use super::state::Router;

/// Number of targets of a service that a node uses. Load polls of 20 targets
/// every 2 s take about 3 KB/s of a node's 5 KB/s for control traffic.
const SUBSET_SIZE: usize = 20;
/// Shortest time between two assignments after membership changes, which come in bursts.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The targets that the node uses, and the revisions from which they were chosen.
#[derive(Debug, Default)]
pub(super) struct AssignedSubset {
    assigned_at: Instant,
    membership_revision: u64,
    config_version: u64,
    keys: HashSet<Key>,
}

impl AssignedSubset {
    /// Returns whether the node uses a target.
    pub(super) fn contains(&self, key: Key) -> bool {
        self.keys.contains(&key)
    }
}

impl Router {
    /// Assigns targets again if the membership or the configuration has changed.
    pub(super) fn refresh_subset(&mut self, now: Instant) {
        let membership_revision = self.dependencies.peers.revision();
        let config_version = self.active.version;
        let previous = &self.assigned;
        let is_due = membership_revision != previous.membership_revision
            && now.since(previous.assigned_at) >= MIN_INTERVAL;
        if config_version == previous.config_version && !is_due {
            return;
        }
        let nodes = self.nodes();
        let services: BTreeSet<ServiceName> =
            self.records.values().map(|record| record.target.service.clone()).collect();
        let chosen = services.iter().flat_map(|service| self.choose_subset(service, &nodes));
        let keys = chosen.filter_map(|name| self.table.key(&name)).collect();
        self.assigned =
            AssignedSubset { assigned_at: now, membership_revision, config_version, keys };
        self.refresh_states();
    }

    fn nodes(&self) -> Vec<Node> {
        let settings = &self.dependencies.settings;
        let own = Node { host: settings.host.clone(), data_centre: settings.data_centre.clone() };
        let others = self.dependencies.peers.live().into_iter();
        let others =
            others.map(|entry| Node { host: entry.status.host, data_centre: entry.data_centre });
        others.chain([own]).collect()
    }

    fn choose_subset(&self, service: &ServiceName, nodes: &[Node]) -> Vec<TargetName> {
        let targets = self.records.values().map(|record| &record.target);
        let targets = targets.filter(|target| target.service == *service);
        let candidates: Vec<Candidate> = targets
            .map(|target| Candidate {
                target: target.name.clone(),
                data_centre: target.data_centre.clone(),
            })
            .collect();
        let assigned = assign(nodes, &candidates, SUBSET_SIZE);
        let own = assigned.get(&self.dependencies.settings.host).into_iter().flatten();
        own.map(|candidate| candidate.target.clone()).collect()
    }
}
