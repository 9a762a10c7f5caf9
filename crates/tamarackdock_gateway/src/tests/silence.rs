use std::collections::BTreeMap;

use super::registration;
use crate::silence::is_load_due;

/// Guards against a target that pauses for a load of weights and is taken for a silent one on
/// nodes that do not hold the duties.
#[test]
fn a_target_that_the_next_step_cannot_use_is_about_to_load() {
    let target = registration("t", "x");
    let published = |m: u64| BTreeMap::from([("m".into(), m), ("other".into(), 9)]);
    assert!(!is_load_due(&target, &published(3)));
    assert!(!is_load_due(&target, &published(4)));
    assert!(is_load_due(&target, &published(5)));
    assert!(!is_load_due(&target, &BTreeMap::new()));
}
