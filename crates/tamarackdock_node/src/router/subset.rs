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

/// Targets of a service that a node uses. Load polls of 20 targets every 2 s
/// are about 3 KB/s of its 5 KB/s for control.
const SIZE: usize = 20;
/// Shortest time between two assignments, since members come and go in bursts.
const PAUSE: Duration = Duration::from_secs(1);

/// The targets that the node uses, and of what they were chosen.
#[derive(Debug, Default)]
pub(super) struct Assigned {
    at: Instant,
    members: u64,
    config: u64,
    keys: HashSet<Key>,
}

impl Assigned {
    /// Whether the node uses a target.
    pub(super) fn has(&self, key: Key) -> bool {
        self.keys.contains(&key)
    }
}

impl Router {
    /// Assigns targets again if the members or the configuration have changed.
    pub(super) fn refresh_subset(&mut self, now: Instant) {
        let members = self.parts.peers.revision();
        let config = self.active.version;
        let former = &self.assigned;
        let is_due = members != former.members && now.since(former.at) >= PAUSE;
        if config == former.config && !is_due {
            return;
        }
        let nodes = self.nodes();
        let services: BTreeSet<ServiceName> =
            self.extra.values().map(|extra| extra.target.service.clone()).collect();
        let chosen = services.iter().flat_map(|service| self.choose_subset(service, &nodes));
        let keys = chosen.filter_map(|name| self.table.key(&name)).collect();
        self.assigned = Assigned { at: now, members, config, keys };
        self.refresh_all();
    }

    fn nodes(&self) -> Vec<Node> {
        let settings = &self.parts.settings;
        let own = Node { host: settings.host.clone(), data_centre: settings.data_centre.clone() };
        let others = self.parts.peers.live().into_iter();
        let others =
            others.map(|entry| Node { host: entry.status.host, data_centre: entry.data_centre });
        others.chain([own]).collect()
    }

    fn choose_subset(&self, service: &ServiceName, nodes: &[Node]) -> Vec<TargetName> {
        let targets = self.extra.values().map(|extra| &extra.target);
        let targets = targets.filter(|target| target.service == *service);
        let candidates: Vec<Candidate> = targets
            .map(|target| Candidate {
                target: target.name.clone(),
                data_centre: target.data_centre.clone(),
            })
            .collect();
        let assigned = assign(nodes, &candidates, SIZE);
        let own = assigned.get(&self.parts.settings.host).into_iter().flatten();
        own.map(|candidate| candidate.target.clone()).collect()
    }
}
