use std::time::Duration;

use tamarackdock_platform::{Error, table::Condition};
use tamarackdock_types::fence::Epoch;

use super::{
    Handle,
    message::Message,
    schedule::{SHARD, window_before},
};
use crate::platform::Platform;

/// Span before the first reporter's start in which nodes may still be writing counts.
const FIRST_SPAN: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Finds the window with which a new reporter starts, and sends it to the usage task. Tries
/// again until the store answers.
pub(super) async fn find_first_window(
    platform: Platform,
    usage: Handle,
    epoch: Epoch,
    fence: Condition,
) {
    let first = loop {
        match read_first_window(&platform).await {
            Ok(first) => break first,
            Err(_) => monoio::time::sleep(RETRY_INTERVAL).await,
        }
    };
    let _ = usage.messages.unbounded_send(Message::FirstWindow { epoch, fence, first });
}

/// Returns the window of the head row. Before the first report there is no head row, and the
/// first window is the lowest one among the nodes' rows, or the one [`FIRST_SPAN`] ago if that
/// is lower.
async fn read_first_window(platform: &Platform) -> Result<u64, Error> {
    let key = format!("usage/head/{}", SHARD.0);
    let rows = platform.table.read(vec![key.clone()]).await?;
    if let Some(head) = rows.get(&key).and_then(|row| row.value.parse().ok()) {
        return Ok(head);
    }
    let rows = platform.table.scan("usage/".into()).await?;
    let windows = rows.iter().filter_map(|row| row.key.split('/').nth(1)?.parse::<u64>().ok());
    let earliest = window_before(FIRST_SPAN);
    Ok(windows.min().map_or(earliest, |window| window.min(earliest)))
}
