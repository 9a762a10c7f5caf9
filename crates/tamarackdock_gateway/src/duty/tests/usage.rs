use std::time::Duration;

use crate::duty::usage::{Meter, window_at};

const WINDOW: Duration = Duration::from_secs(5);

#[test]
fn windows_begin_with_the_first_millisecond() {
    assert_eq!([0, 4_999, 5_000].map(|at| window_at(at, WINDOW)), [0, 0, 1]);
    assert_eq!(window_at(-1, WINDOW), 0, "a clock before 1970 has no window");
}

/// Guards against counts that are lost when a call is counted while an earlier
/// count is written.
#[test]
fn a_count_during_a_write_is_written_again() {
    let mut meter = Meter::default();
    meter.count(&"x".into(), 100, WINDOW);
    let (number, calls) = meter.unflushed().remove(0);
    meter.count(&"x".into(), 200, WINDOW);
    meter.flushed(number, &calls);
    let (number, calls) = meter.unflushed().remove(0);
    assert_eq!((number, calls["x"]), (0, 2));
    meter.flushed(number, &calls);
    assert!(meter.unflushed().is_empty());
}

/// Guards against memory that grows with time, and against counts that are
/// forgotten before they are written.
#[test]
fn written_windows_are_forgotten() {
    let mut meter = Meter::default();
    meter.count(&"x".into(), 100, WINDOW);
    meter.count(&"x".into(), 5_100, WINDOW);
    let (number, calls) = meter.unflushed().remove(0);
    meter.flushed(number, &calls);
    meter.forget_before(9);
    let left: Vec<u64> = meter.unflushed().iter().map(|(number, _)| *number).collect();
    assert_eq!(left, [1]);
}
