use proptest::{prelude::*, test_runner::RngSeed};
use tamarackdock_types::{HostName, key::Hash};

use super::{ApplyError, Delta, Snapshot, SnapshotError, VersionNumber};
use crate::{
    Deployment,
    deployment::{Account, DataCentre},
};

fn deployment() -> impl Strategy<Value = Deployment> {
    let account = (0..6_u8, 1..9_u32, prop::collection::vec(any::<u8>(), 0..4));
    let accounts = prop::collection::btree_map(0..6_u8, account, 0..6);
    (accounts, prop::collection::btree_set(0..5_u8, 0..4), 1..9_u64, any::<bool>()).prop_map(
        |(accounts, data_centres, bytes, reverse)| {
            let mut deployment = Deployment::default();
            deployment.accounts.extend(accounts.into_iter().map(|(name, (_, weight, keys))| {
                let keys = keys.iter().map(|key| Hash::of(&[*key])).collect();
                let name = format!("a{name}").try_into().unwrap();
                Account { name, weight, keys, services: Vec::new() }
            }));
            deployment.data_centres.extend(data_centres.into_iter().map(|name| DataCentre {
                name: format!("d{name}").try_into().unwrap(),
                region: "r".into(),
                state: crate::deployment::DataCentreState::default(),
            }));
            deployment.limits.body_bytes = bytes;
            if reverse {
                deployment.accounts.reverse();
            }
            deployment
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000, rng_seed: RngSeed::Fixed(0xd1ff), failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against a delta that leads to another configuration than the accepted one,
    /// against a checksum that depends on the order of lists, and against damaged
    /// deltas and copies that are accepted.
    #[test]
    fn delta_and_copy_give_the_accepted_version(old in deployment(), new in deployment(), bit in any::<prop::sample::Index>()) {
        let old = Snapshot::new(VersionNumber(7), old);
        let mut reversed = new.clone();
        reversed.accounts.reverse();
        let new = Snapshot::new(VersionNumber(8), new);
        prop_assert_eq!(Snapshot::new(VersionNumber(8), reversed), new.clone());
        let mut delta = Delta::between(&old, &new, "op", HostName::new("h").unwrap());
        let text = serde_json::to_string(&delta).unwrap();
        prop_assert_eq!(serde_json::from_str::<Delta>(&text).unwrap().apply(&old), Ok(new.clone()));
        prop_assert!(matches!(delta.apply(&new), Err(ApplyError::Base { .. })), "wrong base");
        delta.changes.limits.get_or_insert_with(Default::default).body_bytes += 100;
        prop_assert!(matches!(delta.apply(&old), Err(ApplyError::Checksum { .. })), "damaged delta");
        let mut bytes = new.bytes();
        prop_assert_eq!(Snapshot::from_bytes(VersionNumber(8), new.checksum(), &bytes), Ok(new.clone()));
        let at = bit.index(bytes.len());
        bytes[at] ^= 1;
        prop_assert_eq!(Snapshot::from_bytes(VersionNumber(8), new.checksum(), &bytes), Err(SnapshotError::Checksum));
    }
}
