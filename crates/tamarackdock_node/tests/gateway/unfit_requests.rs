//! Requests that every target refuses as if it were full, such as items that are larger than the
//! memory of the engines.

use std::{thread, time::Duration};

use platform_standin::{Client, UNFIT_ITEMS};

use crate::{
    adaptive,
    cluster::{Cluster, KEY, Trainer, Violations},
};

const UNFIT: usize = 4;
const ITEMS: usize = 24;
/// Time in which each engine has refused an item.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Checks that steps complete while the items of an earlier one fit no engine, and that those are
/// still owed.
fn assert_steps_complete(cluster: &Cluster) {
    let violations = Violations::default();
    let trainer = |name: &str| {
        Trainer::new(name, cluster.addresses(), cluster.store.clone(), violations.clone())
    };
    let mut unfit_trainer = trainer(UNFIT_ITEMS.trim_end_matches('-'));
    let unfit = unfit_trainer.submit(0, UNFIT);
    thread::sleep(REFUSAL_TIME);
    let mut trainer = trainer("t");
    for number in 1..3 {
        let mut step = trainer.submit(number, ITEMS);
        trainer.finish(&mut step);
    }
    let mut client = Client::new(KEY, CLIENT_TIMEOUT);
    let node = cluster.addresses()[0];
    let listed = client.listed_results(node, &unfit.job, 0).json();
    assert_eq!(listed["results"].as_array().map(Vec::len), Some(0), "{listed}");
    for (item, _) in &unfit.items {
        assert_eq!(client.item(node, &unfit.job, item).status(), 200, "body of `{item}`");
    }
    unfit_trainer.end(&unfit);
    assert_eq!(violations.all(), Vec::<String>::new());
}

/// Guards against items that fit no engine and keep all other items of a node from starting.
#[test]
fn items_that_fit_no_engine_keep_no_others_from_starting() {
    assert_steps_complete(&Cluster::start("unfit-items", 1, 0));
}

/// Guards against the same where the pace of targets is learned.
#[test]
fn items_that_fit_no_engine_keep_no_others_from_starting_at_a_learned_pace() {
    assert_steps_complete(&adaptive::start("unfit-items-adaptive", 1, 0));
}
