//! The windows and intervals of counting and reporting.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tamarackdock_usage::Settings;

/// Length of the windows in which usage is counted and reported.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Time between a window's end and its closing. It leaves time for the nodes' last flush and
/// for small differences of their clocks, since counts that are flushed after the closing have
/// to be reported with a later window, as corrections of this one.
pub(super) const CLOSE_DELAY: Duration = Duration::from_secs(2);
/// Time without a message of a node after which the copies of its batches are checked against
/// the table.
pub(super) const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time between two ticks of the state machines.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of the only shard, and the number of shards.
pub(super) const SHARD: (u32, u32) = (0, 1);

pub(super) const SETTINGS: Settings = Settings {
    copy: Duration::from_millis(200),
    flush: Duration::from_secs(1),
    retry: Duration::from_millis(500),
};

/// Returns the current window. All nodes number windows from the Unix epoch. A node whose
/// clock is behind flushes to the next open window.
pub(super) fn window() -> u64 {
    window_before(Duration::ZERO)
}

/// Returns the window that was current `span` ago.
pub(super) fn window_before(span: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(span).as_secs() / WINDOW.as_secs()
}
