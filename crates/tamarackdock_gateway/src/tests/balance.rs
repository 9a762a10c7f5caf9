use std::time::Duration;

use proptest::prelude::*;

use super::{at, list, registration};
use crate::{
    balance::{ITEMS_SHARE, Loads, Need, Place, choose, cold_share},
    deployment::{Name, Service},
    target::{List, Registration},
};

const ALONE: Place = Place { rank: 0, of: 1 };

fn chosen(list: &List, loads: &Loads, tried: &[Name], out: &str, now: u64) -> Option<String> {
    let service = Service { cold_rate: 16.0, ..Service::default() };
    let need = Need { service: "app", data_centre: "x", tried, place: &|_| ALONE };
    let is_out = |data_centre: &str| data_centre == out;
    let target = choose(&need, list.iter(), loads, &service, is_out, at(now))?;
    Some(target.registration.id.to_string())
}

fn two() -> List {
    list([registration("far", "y"), registration("near", "x")])
}

#[test]
fn the_own_data_centre_comes_first() {
    assert_eq!(chosen(&two(), &Loads::default(), &[], "", 0).as_deref(), Some("near"));
}

/// Guards against waiting behind full targets while others are free.
#[test]
fn a_full_target_is_passed_over() {
    let mut loads = Loads::default();
    (0..4).for_each(|_| loads.start(&"near".into(), at(0)));
    assert_eq!(chosen(&two(), &loads, &[], "", 0).as_deref(), Some("far"));
    loads.end("near");
    assert_eq!(chosen(&two(), &loads, &[], "", 0).as_deref(), Some("near"));
}

/// Guards against sending on to a target that keeps silent, and against never
/// using it again.
#[test]
fn a_suspected_target_is_used_last_for_a_while() {
    let mut loads = Loads::default();
    loads.start(&"near".into(), at(0));
    loads.suspect("near", at(0));
    assert_eq!(chosen(&two(), &loads, &[], "", 1_000).as_deref(), Some("far"));
    assert_eq!(chosen(&two(), &loads, &["far".into()], "", 1_000).as_deref(), Some("near"));
    assert_eq!(chosen(&two(), &loads, &[], "", 3_000).as_deref(), Some("near"));
}

/// Guards against calls to leaving targets, evacuated data centres and targets
/// that were tried.
#[test]
fn unusable_targets_are_not_chosen() {
    let draining = Registration { draining: true, ..registration("near", "x") };
    let list = list([draining, registration("far", "y")]);
    assert_eq!(chosen(&list, &Loads::default(), &[], "", 0).as_deref(), Some("far"));
    assert_eq!(chosen(&list, &Loads::default(), &[], "y", 0), None);
    assert_eq!(chosen(&list, &Loads::default(), &["far".into()], "", 0), None);
}

/// Guards against a cold target that gets more calls in a second than it bears.
#[test]
fn a_cold_target_gets_its_share_only() {
    let cold = Registration { cold_left: Duration::from_secs(9), ..registration("near", "x") };
    let list = list([cold]);
    let mut loads = Loads::default();
    let started = (0..1_000)
        .filter(|now| {
            let free = chosen(&list, &loads, &[], "", *now).is_some();
            if free {
                loads.start(&"near".into(), at(*now));
                loads.end("near");
            }
            free
        })
        .count();
    assert_eq!(started, 6, "0.4 of a rate of 16 a second");
}

proptest! {
    /// Guards against nodes that each keep to the rate and break it together.
    #[test]
    fn all_nodes_together_keep_to_the_rate(rate in 0.0_f64..60.0, of in 1_usize..400) {
        let sum = |rate: f64| -> usize {
            (0..of).map(|rank| cold_share(rate, Place { rank, of })).sum()
        };
        let started = sum(rate * 0.4) + sum(rate * ITEMS_SHARE);
        prop_assert!(f64::from(u32::try_from(started).unwrap()) <= rate * 1.5 + 5.0);
    }
}

/// Guards against a load of weights that makes a target look slow.
#[test]
fn one_long_gap_is_no_pace() {
    let mut loads = Loads::default();
    loads.start(&"near".into(), at(0));
    (0..9).for_each(|_| loads.pace("near", Duration::from_millis(40)));
    loads.pace("near", Duration::from_millis(900));
    assert_eq!(loads.get("near").pace, Some(40.0));
}
