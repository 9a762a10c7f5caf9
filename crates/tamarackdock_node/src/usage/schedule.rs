//! Windows and time spans of counting and reporting.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tamarackdock_usage::Settings;

/// Length of a reported window.
pub(super) const WINDOW: Duration = Duration::from_secs(5);
/// Time between a window's end and its closing, so that the nodes' last flush
/// and small differences of their clocks make no corrections.
pub(super) const CLOSE_DELAY: Duration = Duration::from_secs(2);
/// Time without news after which a peer's copies are checked against the table.
pub(super) const COPY_SILENCE: Duration = Duration::from_secs(3);
/// Longest time between two steps of the state machines.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The only shard, and the number of shards.
pub(super) const SHARD: (u32, u32) = (0, 1);

pub(super) const SETTINGS: Settings = Settings {
    copy: Duration::from_millis(200),
    flush: Duration::from_secs(1),
    retry: Duration::from_millis(500),
};

/// Returns the window of the present moment. All nodes number windows from the
/// Unix epoch; a node whose clock is behind flushes to the next open window.
pub(super) fn window() -> u64 {
    window_before(Duration::ZERO)
}

/// Returns the window that lies `span` back.
pub(super) fn window_before(span: Duration) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_sub(span).as_secs() / WINDOW.as_secs()
}
