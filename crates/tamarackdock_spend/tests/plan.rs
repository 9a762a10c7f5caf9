//! Plans over random courses of the demand.

use std::{collections::BTreeMap, time::Duration};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use tamarackdock_platform::order::Class;
use tamarackdock_spend::{Centre, Elastic, Policy, Settings, Wanted};
use tamarackdock_types::{DataCentreName, clock::Instant};

const SEED: [u8; 32] = *b"tamarackdock spend plans     001";
const STEP: u64 = 10;
const SETTINGS: Settings = Settings {
    buffer_percent: 30,
    bearable_percent: 90,
    hold: Duration::from_mins(1),
    unavailable: Duration::from_secs(40),
};
const HOLD_STEPS: usize = 6;
const UNAVAILABLE_STEPS: usize = 4;

type Course = Vec<[(Centre, bool); 3]>;

fn course() -> impl Strategy<Value = Course> {
    let centre = (0..20_000_u64, prop_oneof![Just(0_u32), 5..40_u32], prop::bool::weighted(0.1))
        .prop_map(|(demand, limit, gone)| (Centre { demand, capacity: 900, limit }, gone));
    vec([centre.clone(), centre.clone(), centre], 1..40)
}

fn needed(centre: &Centre) -> u32 {
    let targets = (centre.demand * 130).div_ceil(100).div_ceil(centre.capacity);
    u32::try_from(targets).unwrap().min(centre.limit)
}

fn total(wanted: Wanted) -> u32 {
    wanted.ordinary + wanted.cheap
}

fn check(course: &Course, step: usize, plan: &[Wanted]) -> Result<(), TestCaseError> {
    let capacity: u64 = plan.iter().map(|wanted| u64::from(total(*wanted)) * 900).sum();
    let demand: u64 = course[step].iter().map(|(centre, _)| centre.demand).sum();
    for (index, wanted) in plan.iter().enumerate() {
        let limit = course[step][index].0.limit;
        let held = &course[(step + 1).saturating_sub(HOLD_STEPS)..=step];
        let most = held.iter().map(|centres| needed(&centres[index].0)).max().unwrap();
        prop_assert!(total(*wanted) >= most.min(limit), "fewer than the hold time's demand");
        prop_assert!(total(*wanted) <= limit);
        let rest = capacity - u64::from(wanted.cheap) * 900;
        prop_assert!(wanted.cheap == 0 || rest * 100 >= demand * 90, "loss is not bearable");
        let recent = &course[(step + 1).saturating_sub(UNAVAILABLE_STEPS)..=step];
        let gone = recent.iter().any(|centres| centres[index].1);
        prop_assert!(!gone || wanted.cheap == 0, "cheap targets that can't be had");
    }
    Ok(())
}

/// Guards against too few targets for the demand of the hold time, more cheap
/// ones than may be lost, and a plan that waits for unavailable cheap ones. Cheap
/// targets must be used at all.
#[test]
fn plans_bear_the_loss_of_cheap_targets() {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let cheap = std::cell::Cell::new(0_u64);
    let names = ["d1", "d2", "d3"].map(|name| DataCentreName::new(name).unwrap());
    let outcome = TestRunner::new_with_rng(config, rng).run(&course(), |course| {
        let mut policy = Elastic::new(SETTINGS);
        for (step, centres) in course.iter().enumerate() {
            let now = Instant::from_millis(step as u64 * STEP * 1000);
            for (name, _) in names.iter().zip(centres).filter(|(_, (_, gone))| *gone) {
                policy.on_unavailable(now, name, Class::Cheap);
            }
            let pairs = names.iter().cloned().zip(centres.iter().map(|(centre, _)| *centre));
            let plan: Vec<_> =
                policy.plan(now, &pairs.collect::<BTreeMap<_, _>>()).into_values().collect();
            cheap.set(cheap.get() + plan.iter().map(|wanted| u64::from(wanted.cheap)).sum::<u64>());
            check(&course, step, &plan)?;
        }
        Ok(())
    });
    outcome.unwrap();
    println!("2000 courses; cheap targets planned: {}", cheap.get());
    assert!(cheap.get() > 2_000);
}
