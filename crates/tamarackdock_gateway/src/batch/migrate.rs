//! When a run of an item moves to another target.
//!
//! The load that this answers is a step whose last items run on targets that
//! have turned slow. Any target goes on after the last event, and reading the
//! text again takes milliseconds, so that a move costs a connection and gains
//! the difference in pace for all events that are left.

/// Pace, as a multiple of the median, from which a target counts as slow.
/// Targets of one service differ by up to 1.3 by design.
const SLOW_FACTOR: f64 = 1.45;
/// Least gain in milliseconds that a move is worth.
const MIN_GAIN_MS: f64 = 350.0;
/// Moves of one item, so that wrong paces don't drive it around.
const MAX_MOVES: u32 = 3;
/// Targets with a known pace that a median needs.
const MIN_KNOWN: usize = 3;

/// Returns the median of the paces of targets with room, or `None` if too few
/// are known.
pub(crate) fn median(mut paces: Vec<f64>) -> Option<f64> {
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied().filter(|_| paces.len() >= MIN_KNOWN)
}

/// Returns whether a run should move. `pace` and `median` are milliseconds for
/// an event, `left` is the estimated number of events that are left.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn is_due(pace: f64, median: f64, left: u64, moves: u32) -> bool {
    let gain = left as f64 * (pace - median);
    moves < MAX_MOVES && pace > SLOW_FACTOR * median && gain > MIN_GAIN_MS
}
