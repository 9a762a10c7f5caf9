//! Plans over random series of demand.

use std::{collections::BTreeMap, time::Duration};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use tamarackdock_platform::order::Class;
use tamarackdock_spend::{DataCentreLoad, Elastic, Policy, Settings, TargetCounts};
use tamarackdock_types::{DataCentreName, clock::Instant};

const SEED: [u8; 32] = *b"tamarackdock spend plans     001";
const STEP_S: u64 = 10;
const SETTINGS: Settings = Settings {
    buffer_percent: 30,
    min_served_percent: 90,
    scale_down_delay: Duration::from_mins(1),
    unavailable_backoff: Duration::from_secs(40),
};
const HOLD_STEPS: usize = 6;
const UNAVAILABLE_STEPS: usize = 4;

type DemandSeries = Vec<[(DataCentreLoad, bool); 3]>;

fn series() -> impl Strategy<Value = DemandSeries> {
    let load = (0..20_000_u64, prop_oneof![Just(0_u32), 5..40_u32], prop::bool::weighted(0.1))
        .prop_map(|(demand, limit, is_unavailable)| {
            (DataCentreLoad { demand, capacity: 900, limit }, is_unavailable)
        });
    vec([load.clone(), load.clone(), load], 1..40)
}

fn needed(load: &DataCentreLoad) -> u32 {
    let targets = (load.demand * 130).div_ceil(100).div_ceil(load.capacity);
    u32::try_from(targets).unwrap().min(load.limit)
}

fn total(counts: TargetCounts) -> u32 {
    counts.ordinary + counts.cheap
}

fn check(series: &DemandSeries, step: usize, plan: &[TargetCounts]) -> Result<(), TestCaseError> {
    let capacity: u64 = plan.iter().map(|counts| u64::from(total(*counts)) * 900).sum();
    let demand: u64 = series[step].iter().map(|(load, _)| load.demand).sum();
    for (index, counts) in plan.iter().enumerate() {
        let limit = series[step][index].0.limit;
        let recent = &series[(step + 1).saturating_sub(HOLD_STEPS)..=step];
        let most = recent.iter().map(|loads| needed(&loads[index].0)).max().unwrap();
        prop_assert!(total(*counts) >= most.min(limit), "too few for the demand of the hold time");
        prop_assert!(total(*counts) <= limit);
        let rest = capacity - u64::from(counts.cheap) * 900;
        prop_assert!(
            counts.cheap == 0 || rest * 100 >= demand * 90,
            "too few are left after a loss"
        );
        let recent = &series[(step + 1).saturating_sub(UNAVAILABLE_STEPS)..=step];
        let is_unavailable = recent.iter().any(|loads| loads[index].1);
        prop_assert!(!is_unavailable || counts.cheap == 0, "cheap targets that are unavailable");
    }
    Ok(())
}

/// Guards against too few targets for the demand of the hold time, more cheap
/// targets than may be lost at once, plans that rely on unavailable cheap targets,
/// and plans without any cheap targets.
#[test]
fn plans_survive_the_loss_of_cheap_targets() {
    println!("seed {:?}", String::from_utf8_lossy(&SEED));
    let config = ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let cheap = std::cell::Cell::new(0_u64);
    let names = ["d1", "d2", "d3"].map(|name| DataCentreName::new(name).unwrap());
    let outcome = TestRunner::new_with_rng(config, rng).run(&series(), |series| {
        let mut policy = Elastic::new(SETTINGS);
        for (step, loads) in series.iter().enumerate() {
            let now = Instant::from_millis(step as u64 * STEP_S * 1000);
            for (name, _) in
                names.iter().zip(loads).filter(|(_, (_, is_unavailable))| *is_unavailable)
            {
                policy.on_unavailable(now, name, Class::Cheap);
            }
            let pairs = names.iter().cloned().zip(loads.iter().map(|(load, _)| *load));
            let plan: Vec<_> =
                policy.plan(now, &pairs.collect::<BTreeMap<_, _>>()).into_values().collect();
            cheap.set(cheap.get() + plan.iter().map(|counts| u64::from(counts.cheap)).sum::<u64>());
            check(&series, step, &plan)?;
        }
        Ok(())
    });
    outcome.unwrap();
    println!("2000 series; cheap targets planned: {}", cheap.get());
    assert!(cheap.get() > 2_000);
}
