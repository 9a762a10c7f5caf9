use std::collections::{HashMap, HashSet};

use tamarackdock_types::{DataCentreName, HostName, TargetName};

use super::{Candidate, Node, assign};

const SIZE: usize = 32;

fn data_centre(index: usize) -> DataCentreName {
    DataCentreName::new(&format!("d{}", index % 7)).expect("a valid name")
}

fn nodes(count: usize) -> Vec<Node> {
    let node = |index| Node {
        host: HostName::new(&format!("h{index}")).expect("a valid name"),
        data_centre: data_centre(index),
    };
    (0..count).map(node).collect()
}

fn targets(count: usize) -> Vec<Candidate> {
    let target = |index| Candidate {
        target: TargetName::new(&format!("t{index}")).expect("a valid name"),
        data_centre: data_centre(index),
    };
    (0..count).map(target).collect()
}

fn pairs(nodes: &[Node], targets: &[Candidate]) -> HashSet<(HostName, TargetName)> {
    let subsets = assign(nodes, targets, SIZE);
    let pairs = subsets.into_iter().flat_map(|(host, subset)| {
        subset.into_iter().map(move |target| (host.clone(), target.target.clone()))
    });
    pairs.collect()
}

/// Guards against targets that are used by too few or too many nodes, and against
/// a change of one node or target that moves the connections of others.
#[test]
fn large_subsets_are_balanced_and_stable() {
    let (nodes, targets) = (nodes(420), targets(650));
    let all = pairs(&nodes, &targets);
    let mut per_target: HashMap<&TargetName, usize> = HashMap::new();
    let mut per_node: HashMap<&HostName, usize> = HashMap::new();
    for (host, target) in &all {
        *per_target.entry(target).or_default() += 1;
        *per_node.entry(host).or_default() += 1;
    }
    let range = |counts: Vec<usize>| (counts.iter().min().copied(), counts.iter().max().copied());
    let of_targets = range(per_target.values().copied().collect());
    let of_nodes = range(per_node.values().copied().collect());
    let without_node = pairs(&nodes[1..], &targets);
    let without_target = pairs(&nodes, &targets[1..]);
    let changed = (
        all.symmetric_difference(&without_node).count(),
        all.symmetric_difference(&without_target).count(),
    );
    println!(
        "nodes per target {of_targets:?}, targets per node {of_nodes:?}, {} pairs, \
         changed without one node {}, without one target {}",
        all.len(),
        changed.0,
        changed.1
    );
    assert_eq!(per_target.len(), 650);
    assert_eq!(per_node.len(), 420);
    let (Some(least), Some(most)) = of_targets else { panic!("no targets") };
    assert!(most - least <= 2, "nodes per target from {least} to {most}");
    // Twice the average subset for the removed pairs, and the same for those that
    // replace them.
    assert!(changed.0 <= 4 * SIZE, "{} pairs changed by a node", changed.0);
    assert!(changed.1 <= 4 * SIZE, "{} pairs changed by a target", changed.1);
}

/// Guards against a node that loses all its targets when one data centre fails.
#[test]
fn every_subset_has_two_data_centres() {
    for (node_count, target_count) in [(1, 2), (3, 8), (12, 15), (420, 650)] {
        let (nodes, targets) = (nodes(node_count), targets(target_count));
        for size in [1, 4, SIZE] {
            let subsets = assign(&nodes, &targets, size);
            for node in &nodes {
                let is_other = |t: &&Candidate| t.data_centre != node.data_centre;
                assert!(subsets[&node.host].iter().any(is_other), "{node:?} of {size}");
            }
        }
    }
}
