use std::time::Duration;

use proptest::prelude::*;

use super::at;
use crate::freshness::Freshness;

const BOUND: Duration = Duration::from_secs(5);

/// Guards against keys that are accepted before there is any proof that they are in force.
#[test]
fn no_proof_allows_nothing() {
    assert!(!Freshness::new(Some(BOUND)).allows_keys(at(0)));
    assert!(!Freshness::new(None).allows_keys(at(0)));
}

/// Guards against calls that are refused for an old proof where no bound is set.
#[test]
fn an_old_proof_is_enough_without_a_bound() {
    let mut freshness = Freshness::new(None);
    freshness.prove(at(10));
    assert!(freshness.allows_keys(at(1_000_000)));
}

proptest! {
    /// Guards against a withdrawn key that works longer than the bound. The worst case
    /// is a key that is withdrawn right after the last answered poll was sent. The
    /// responses to the polls may arrive in any order.
    #[test]
    fn withdrawn_keys_end_within_the_bound(
        polls in prop::collection::vec(0_u64..20_000, 1..8),
        request in 0_u64..40_000,
    ) {
        let mut freshness = Freshness::new(Some(BOUND));
        for sent in &polls {
            freshness.prove(at(*sent));
        }
        let last = *polls.iter().max().unwrap();
        let withdrawn = last + 1;
        let late = request >= withdrawn + 5_000;
        prop_assert!(!(late && freshness.allows_keys(at(request))));
    }
}

/// Guards against calls that are refused while the balancer still sends new connections.
#[test]
fn health_checks_fail_before_calls_are_refused() {
    let mut freshness = Freshness::new(Some(BOUND));
    freshness.prove(at(0));
    let states: Vec<_> = [0, 2_000, 3_000, 4_000, 4_600]
        .map(|now| (now, freshness.is_ready(at(now)), freshness.allows_keys(at(now))))
        .into();
    insta::assert_debug_snapshot!(states);
}
