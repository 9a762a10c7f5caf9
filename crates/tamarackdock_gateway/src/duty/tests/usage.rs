use std::time::Duration;

use slog::{Discard, Logger, o};
use tamarackdock_platform::table::Row;

use crate::duty::usage::{PREFIXES, UsageCounter, add_up, window_at, window_of};

const WINDOW: Duration = Duration::from_secs(5);

/// Guards against calls that are counted in a neighbouring window.
#[test]
fn windows_begin_with_the_first_millisecond() {
    assert_eq!([0, 4_999, 5_000].map(|at| window_at(at, WINDOW)), [0, 0, 1]);
    assert_eq!(window_at(-1, WINDOW), 0, "a clock before 1970 has no window");
}

/// Guards against a call that is lost because it is counted while earlier counts are
/// being written.
#[test]
fn a_count_during_a_write_is_written_again() {
    let mut counter = UsageCounter::default();
    counter.count(&"x".into(), 100, WINDOW);
    let (number, calls) = counter.unflushed().remove(0);
    counter.count(&"x".into(), 200, WINDOW);
    counter.mark_flushed(number, &calls);
    let (number, calls) = counter.unflushed().remove(0);
    assert_eq!((number, calls["x"]), (0, 2));
    counter.mark_flushed(number, &calls);
    assert!(counter.unflushed().is_empty());
}

/// Guards against memory that grows with time, and against counts that are dropped
/// before they are written.
#[test]
fn written_windows_are_forgotten() {
    let mut counter = UsageCounter::default();
    counter.count(&"x".into(), 100, WINDOW);
    counter.count(&"x".into(), 5_100, WINDOW);
    let (number, calls) = counter.unflushed().remove(0);
    counter.mark_flushed(number, &calls);
    counter.forget_before(9);
    let left: Vec<u64> = counter.unflushed().iter().map(|(number, _)| *number).collect();
    assert_eq!(left, [1]);
}

/// Guards against a window that is never reported because one row of its counts can't be read.
#[test]
fn rows_that_cannot_be_read_are_left_out() {
    let row = |value: &str| Row {
        key: "usage@u/7/a".into(),
        revision: 1,
        value: value.into(),
        operation: String::new(),
    };
    let rows = [
        row(r#"{"x":3,"y":1}"#),
        row("["),
        row(r#"{"x":-1}"#),
        row(r#"{"x":2}"#),
        row(&format!(r#"{{"y":{}}}"#, u64::MAX)),
    ];
    let totals = add_up(&rows, &Logger::root(Discard, o!()));
    assert_eq!((totals["x"], totals["y"]), (5, u64::MAX));
}

/// Guards against rows of usage that are never removed, or removed with those of another window.
#[test]
fn rows_tell_their_window() {
    let [counts, sums] = PREFIXES;
    assert_eq!(window_of("usage@u/1234/edge-1-00ff", counts), Some(1_234));
    assert_eq!(window_of("sealed@u/1234", sums), Some(1_234));
    assert_eq!(window_of("sealed@u/other", sums), None);
    assert_eq!(window_of("sealed@u/1234", counts), None);
}
