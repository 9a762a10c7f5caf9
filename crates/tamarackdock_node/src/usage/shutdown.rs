use std::time::Duration;

use slog::{info, warn};

use super::{message::Message, schedule::SHARD};
use crate::{context::Context, telemetry::log};

/// Longest time for writing the last counts to the table.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a leaving node waits until its last window is reported. If it is
/// not, the counts stay in the table for the next reporter.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Flushes all counts, waits at most [`REPORT_TIMEOUT`] until they are reported, and releases
/// the lease.
pub(crate) async fn shut_down(context: &Context) {
    let log = log::part(&context.log, "usage");
    let usage = &context.usage;
    let flushed = usage.ask(|reply| Message::Flush { reply });
    match monoio::time::timeout(FLUSH_TIMEOUT, flushed).await {
        Ok(Some(window)) => {
            let reported =
                monoio::time::timeout(REPORT_TIMEOUT, wait_until_reported(context, window)).await;
            info!(log, "flushed"; "window" => window, "reported" => reported.is_ok());
        }
        Ok(None) | Err(_) => warn!(log, "stopped with counts that are not in the table"),
    }
    let released = usage.ask(|reply| Message::Release { reply });
    let _ = monoio::time::timeout(RELEASE_TIMEOUT, released).await;
}

/// Waits until all windows up to `window` are reported, by this or another node.
async fn wait_until_reported(context: &Context, window: u64) {
    let key = format!("usage/head/{}", SHARD.0);
    loop {
        let rows = context.platform.table.read(vec![key.clone()]).await.unwrap_or_default();
        let head = rows.get(&key).and_then(|row| row.value.parse::<u64>().ok());
        if head.is_some_and(|head| head > window) {
            return;
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
