//! Deterministic subsetting, which limits the targets that a node uses in large
//! deployments.

use std::collections::HashMap;

use tamarackdock_types::{DataCentreName, HostName, TargetName};

use crate::hash::{fingerprint, score};

#[cfg(test)]
mod tests;

/// A live node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Node {
    /// Host on which the node runs.
    pub host: HostName,
    /// Data centre in which the node runs.
    pub data_centre: DataCentreName,
}

/// A target of the service that the subset is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Name whose hash determines the nodes that use the target.
    pub target: TargetName,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreName,
}

/// Assigns to each node about `size` of a service's targets.
///
/// Each target is assigned to the nodes with the highest rendezvous scores, so
/// that all targets have the same number of nodes, and an added or removed node
/// or target changes only its own pairs. A node whose targets are all in its own
/// data centre gets its best target of another one in addition.
#[must_use]
pub fn assign<'a>(
    nodes: &'a [Node],
    targets: &'a [Candidate],
    size: usize,
) -> HashMap<&'a HostName, Vec<&'a Candidate>> {
    let nodes_per_target = (nodes.len() * size).div_ceil(targets.len().max(1)).min(nodes.len());
    let hashes: Vec<u64> = nodes.iter().map(|node| hash_host(&node.host)).collect();
    let mut subsets: Vec<Vec<&Candidate>> = vec![Vec::new(); nodes.len()];
    for target in targets {
        for index in best_nodes(target, &hashes, nodes_per_target) {
            subsets[index].push(target);
        }
    }
    for ((node, hash), subset) in nodes.iter().zip(&hashes).zip(&mut subsets) {
        add_other_data_centre(node, *hash, targets, subset);
    }
    nodes.iter().map(|node| &node.host).zip(subsets).collect()
}

fn best_nodes(target: &Candidate, hashes: &[u64], count: usize) -> Vec<usize> {
    let hash = hash_target(&target.target);
    let mut scored: Vec<(u64, usize)> =
        hashes.iter().enumerate().map(|(index, node)| (score(*node, hash), index)).collect();
    if count < scored.len() {
        scored.select_nth_unstable_by(count, |left, right| right.cmp(left));
        scored.truncate(count);
    }
    scored.into_iter().map(|(_, index)| index).collect()
}

fn add_other_data_centre<'a>(
    node: &Node,
    hash: u64,
    targets: &'a [Candidate],
    subset: &mut Vec<&'a Candidate>,
) {
    let is_other = |target: &&Candidate| target.data_centre != node.data_centre;
    if subset.iter().any(is_other) {
        return;
    }
    let others = targets.iter().filter(is_other);
    subset.extend(others.max_by_key(|target| score(hash, hash_target(&target.target))));
}

fn hash_host(host: &HostName) -> u64 {
    fingerprint(host.as_str().as_bytes())
}

fn hash_target(target: &TargetName) -> u64 {
    fingerprint(target.as_str().as_bytes())
}
