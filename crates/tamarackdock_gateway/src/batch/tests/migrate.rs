use crate::batch::migrate::{is_due, median};

#[test]
fn a_median_needs_several_targets() {
    assert_eq!(median(vec![40.0, 41.0]), None);
    assert_eq!(median(vec![90.0, 40.0, 41.0]), Some(41.0));
}

/// Guards against moves that cost more than they gain, and against moves to and fro.
#[test]
fn only_long_rests_on_slow_targets_move() {
    let due = [
        ("twice as slow, long rest", is_due(90.0, 45.0, 60, 0)),
        ("twice as slow, short rest", is_due(90.0, 45.0, 5, 0)),
        ("as slow as targets may differ", is_due(58.5, 45.0, 100, 0)),
        ("moved often", is_due(90.0, 45.0, 60, 3)),
    ];
    insta::assert_debug_snapshot!(due);
}
