//! Decides when a run of an item moves to another target.
//!
//! The load that this is made for is a step whose last items run on targets that have
//! become slow. Any target can continue after the last event, and takes milliseconds to
//! read the text so far. So a move costs a connection, and for each remaining event it
//! saves the difference between the targets' times per event.

/// Time per event, as a multiple of the median, above which a target counts as slow.
/// Targets of one service differ by a factor of up to 1.3 by design.
const SLOW_FACTOR: f64 = 1.45;
/// Smallest estimated gain, in milliseconds, for which an item is moved.
const MIN_GAIN_MS: f64 = 350.0;
/// Most moves of one item, so that wrong times per event don't move it endlessly.
const MAX_MOVES: u32 = 3;
/// Least number of targets with a known time per event for a median.
const MIN_KNOWN_TARGETS: usize = 3;

/// Returns the median of the times per event of targets with room, or `None` if too few
/// are known.
pub(crate) fn median(mut intervals_ms: Vec<f64>) -> Option<f64> {
    intervals_ms.sort_by(f64::total_cmp);
    intervals_ms
        .get(intervals_ms.len() / 2)
        .copied()
        .filter(|_| intervals_ms.len() >= MIN_KNOWN_TARGETS)
}

/// Returns whether a run should move. `interval_ms` is the time per event of its target,
/// `median` that of the targets with room.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn should_move(
    interval_ms: f64,
    median: f64,
    remaining_events: u64,
    moves: u32,
) -> bool {
    let gain_ms = remaining_events as f64 * (interval_ms - median);
    moves < MAX_MOVES && interval_ms > SLOW_FACTOR * median && gain_ms > MIN_GAIN_MS
}
