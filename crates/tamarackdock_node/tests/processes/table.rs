use standin::process::Cluster;
use tamarackdock_lease::Row;
use tamarackdock_platform::table::{Commit, Condition};
use tamarackdock_types::fence::Epoch;

const LEASE: &str = "lease/step/t1";
/// Row that changes only when the lease gets a new epoch.
const FENCE: &str = "epoch/step/t1";
const STEPS: &str = "step/t1/";

/// Returns the lease row of the trainer `t1`, unless the lease is released.
pub(crate) fn lease(cluster: &Cluster) -> Option<Row> {
    let state = cluster.world.platform.state();
    let row = Row::decode(&state.table.get(LEASE)?.value).unwrap();
    (!row.released).then_some(row)
}

/// Returns the index of the node that holds the lease of the trainer `t1`.
pub(crate) fn holder(cluster: &Cluster) -> Option<usize> {
    lease(cluster)?.holder.as_str().strip_prefix('n')?.parse().ok()
}

/// Checks that every commit of a manifest was made under the epoch of the lease at
/// that time, and returns the epochs in the order of the commits.
pub(crate) fn manifest_epochs(cluster: &Cluster) -> Vec<Epoch> {
    let state = cluster.world.platform.state();
    let mut held = None;
    let mut fence = None;
    let mut epochs = Vec::new();
    for (index, commit) in state.table.commits().iter().enumerate() {
        let revision = u64::try_from(index).unwrap() + 1;
        if written_value(commit, |key| key == FENCE).is_some() {
            fence = Some(Condition { key: FENCE.into(), revision });
        }
        if let Some(value) = written_value(commit, |key| key == LEASE) {
            let epoch = Row::decode(value).unwrap().epoch;
            let is_fenced = written_value(commit, |key| key == FENCE).is_some();
            assert!(held == Some(epoch) || is_fenced, "a new epoch without a fence in {commit:?}");
            held = Some(epoch);
        }
        if written_value(commit, |key| key.starts_with(STEPS)).is_some() {
            let epoch = held.expect("a manifest was committed without a lease");
            let fence = fence.as_ref().expect("a manifest was committed without a fence");
            assert!(commit.conditions.contains(fence), "no fence in {commit:?}");
            // The operation id names the epoch of the holder that made the commit.
            let prefix = format!("{epoch}-");
            assert!(commit.operation.starts_with(&prefix), "{epoch} holds at {commit:?}");
            epochs.push(epoch);
        }
    }
    epochs
}

fn written_value(commit: &Commit, is_wanted: impl Fn(&str) -> bool) -> Option<&str> {
    commit.writes.iter().find(|write| is_wanted(&write.key))?.value.as_deref()
}
