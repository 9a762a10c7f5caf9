use crate::batch::migrate::{median, should_move};

/// Guards against moves that are based on the times of too few targets.
#[test]
fn a_median_needs_several_targets() {
    assert_eq!(median(vec![40.0, 41.0]), None);
    assert_eq!(median(vec![90.0, 40.0, 41.0]), Some(41.0));
}

/// Guards against moves that cost more than they gain, and against endless moves of an
/// item between targets.
#[test]
fn only_long_remainders_on_slow_targets_move() {
    let due = [
        ("twice as slow, long rest", should_move(90.0, 45.0, 60, 0)),
        ("twice as slow, short rest", should_move(90.0, 45.0, 5, 0)),
        ("as slow as targets may differ", should_move(58.5, 45.0, 100, 0)),
        ("moved often", should_move(90.0, 45.0, 60, 3)),
    ];
    insta::assert_debug_snapshot!(due);
}
