use std::collections::BTreeSet;

use proptest::prelude::*;

use crate::{
    deployment::{Name, Scaling},
    duty::scale::wanted_targets,
};

fn scaling() -> Scaling {
    let prices = [("north", 1.0), ("south", 0.8), ("west", 1.25)];
    Scaling {
        min: 1,
        max: 6,
        prices: prices.iter().map(|(name, price)| ((*name).into(), *price)).collect(),
    }
}

fn data_centres() -> BTreeSet<Name> {
    ["north", "south", "west"].into_iter().map(Name::from).collect()
}

/// Guards against orders of targets that do not follow the number of items.
#[test]
fn targets_follow_the_items_of_the_steps() {
    let plans: Vec<_> = [1, 20, 60, 180, 900]
        .map(|items| (items, wanted_targets(items, 16, &scaling(), &data_centres())))
        .into();
    insta::assert_debug_snapshot!(plans);
}

proptest! {
    /// Guards against orders outside the bounds, which the platform refuses.
    #[test]
    fn orders_keep_to_the_bounds(items in 0_u64..100_000, slots in 0_u32..64) {
        let plan = wanted_targets(items, slots, &scaling(), &data_centres());
        prop_assert!(plan.values().all(|targets| (1..=6).contains(targets)));
        prop_assert_eq!(plan.len(), 3);
    }
}
