//! Usage reports. Each node counts the calls that targets began to run, by client
//! account and window, and writes its counts to the store. The holder of the duties
//! seals a window's totals in the store before it sends them, and sends only sealed
//! totals, so that no window is reported with two different totals.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use slog::Logger;
use tamarackdock_platform::{
    Error,
    table::{Condition, Row, Write},
};

use crate::{
    deployment::Name,
    http::{Connection, send_message},
    node::Node,
    periodic,
    telemetry::excerpt,
    wire_format::OutgoingRequest,
};

/// Time between checks for windows that can be reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Wait after the end of a window, in addition to the interval of the writes, until the
/// window is sealed, so that the counts of all nodes are in the store. It covers several
/// round trips to the store.
const SEAL_AFTER: Duration = Duration::from_millis(2800);
/// Age in milliseconds after which a window is no longer reported, and its written
/// counts are dropped.
const FORGET_AFTER_MS: i64 = 40_000;
/// Age in milliseconds after which the rows of a window are removed. It is far above
/// [`FORGET_AFTER_MS`]: a window without its sealed sums could be reported with other ones.
const KEEP_ROWS_MS: i64 = 3_600_000;
/// Time limit for the response to a report or an order of targets.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest response.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;
/// Part of the tables that holds the rows.
const PART: &str = "u";

/// Number of calls on this node, by window and client account.
#[derive(Debug, Default)]
pub(crate) struct UsageCounter {
    windows: BTreeMap<u64, Window>,
}

#[derive(Debug, Default)]
struct Window {
    calls: BTreeMap<Name, u64>,
    /// Whether the store has the current counts.
    flushed: bool,
}

impl UsageCounter {
    /// Counts a call that began at a time in Unix milliseconds.
    pub(crate) fn count(&mut self, account: &Name, at_ms: i64, window: Duration) {
        let window = self.windows.entry(window_at(at_ms, window)).or_default();
        *window.calls.entry(account.clone()).or_default() += 1;
        window.flushed = false;
    }

    /// Returns the windows whose current counts are not written to the store.
    pub(crate) fn unflushed(&self) -> Vec<(u64, BTreeMap<Name, u64>)> {
        let windows = self.windows.iter().filter(|(_, window)| !window.flushed);
        windows.map(|(number, window)| (*number, window.calls.clone())).collect()
    }

    /// Records that the given counts of a window were written to the store.
    pub(crate) fn mark_flushed(&mut self, number: u64, calls: &BTreeMap<Name, u64>) {
        if let Some(window) = self.windows.get_mut(&number) {
            window.flushed = window.calls == *calls;
        }
    }

    /// Drops windows before the given number if their counts are written.
    pub(crate) fn forget_before(&mut self, number: u64) {
        self.windows.retain(|window, counts| *window >= number || !counts.flushed);
    }
}

/// Returns the number of the window that contains a time in Unix milliseconds.
pub(crate) fn window_at(at_ms: i64, window: Duration) -> u64 {
    let length = i64::try_from(window.as_millis()).unwrap_or(i64::MAX).max(1);
    u64::try_from(at_ms.div_euclid(length)).unwrap_or_default()
}

/// Returns the end of a window in Unix milliseconds.
fn window_end_ms(number: u64, window: Duration) -> i64 {
    let length = i64::try_from(window.as_millis()).unwrap_or(i64::MAX);
    i64::try_from(number).unwrap_or(i64::MAX).saturating_add(1).saturating_mul(length)
}

/// Prefixes of the keys of all counts and of all sealed sums.
pub(crate) const PREFIXES: [&str; 2] = ["usage@u/", "sealed@u/"];

/// Returns the window of a row whose key begins with one of [`PREFIXES`].
pub(crate) fn window_of(key: &str, prefix: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.split('/').next()?.parse().ok()
}

/// Returns the first window whose rows are kept.
pub(crate) fn oldest_kept(node: &Node) -> u64 {
    let window = node.settings().bounds.usage_window;
    window_at(node.cluster_unix_millis() - KEEP_ROWS_MS, window)
}

fn counts_prefix(number: u64) -> String {
    format!("usage@{PART}/{number}/")
}

fn sealed_key(number: u64) -> String {
    format!("sealed@{PART}/{number}")
}

/// Writes this node's counts to the store.
pub(crate) async fn flush(node: &Node) -> Result<(), Error> {
    let unflushed = node.usage.borrow().unflushed();
    for (number, calls) in unflushed {
        let run = &node.members.own;
        let key = format!("{}{}-{:016x}", counts_prefix(number), run.host, run.number);
        let value = serde_json::to_string(&calls).ok();
        let writes = vec![Write { key, value }];
        node.commit(Vec::new(), writes).await?;
        node.usage.borrow_mut().mark_flushed(number, &calls);
    }
    Ok(())
}

/// Writes this node's counts at intervals. Never returns.
pub(crate) async fn run_flush(node: Rc<Node>) {
    loop {
        sleep(node.members.interval(periodic::USAGE)).await;
        if let Err(error) = flush(&node).await {
            node.store_failed("usage", &error);
        }
        let window = node.settings().bounds.usage_window;
        let oldest = window_at(node.cluster_unix_millis() - FORGET_AFTER_MS, window);
        node.usage.borrow_mut().forget_before(oldest);
    }
}

/// Reports complete windows while this node holds the duties. Never returns.
pub(crate) async fn run_report(node: Rc<Node>) {
    let window = node.settings().bounds.usage_window;
    let mut reported: std::collections::BTreeSet<u64> = std::collections::BTreeSet::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        if node.duties.permit().is_none() || node.settings().orders.is_none() {
            continue;
        }
        let now = node.cluster_unix_millis();
        let oldest = window_at(now - FORGET_AFTER_MS, window);
        let newest = window_at(now, window);
        let seal_delay_ms = (SEAL_AFTER + node.members.interval(periodic::USAGE)).as_millis();
        let seal_delay_ms = i64::try_from(seal_delay_ms).unwrap_or(i64::MAX);
        reported.retain(|number| *number >= oldest);
        for number in oldest..newest {
            let is_complete = now >= window_end_ms(number, window).saturating_add(seal_delay_ms);
            if !is_complete || reported.contains(&number) {
                continue;
            }
            match report(&node, number).await {
                Ok(true) => {
                    reported.insert(number);
                }
                Ok(false) => break,
                Err(error) => {
                    node.store_failed("seal", &error);
                    break;
                }
            }
        }
    }
}

type Totals = BTreeMap<Name, u64>;

/// Sends a window's sealed totals, sealing them first if needed. Returns whether the
/// report was accepted.
async fn report(node: &Rc<Node>, number: u64) -> Result<bool, Error> {
    let key = sealed_key(number);
    let sealed = node.store.read(vec![key.clone()]).await?;
    let totals: Totals = match sealed.get(&key) {
        Some(row) => serde_json::from_str(&row.value).map_err(|_| Error::Malformed)?,
        None => seal_window(node, number, key).await?,
    };
    let calls: Vec<(Name, u64)> = totals.into_iter().collect();
    let Some(sender) = node.duties.permit() else { return Ok(false) };
    let Some(address) = node.settings().orders else { return Ok(false) };
    let message = node.wire_format.usage(number, &calls, &sender);
    let status = send(node, address, &message).await;
    slog::info!(node.log, "usage: report finished"; "window" => number, "status" => status,
        "calls" => calls.iter().map(|(_, calls)| calls).sum::<u64>(), "epoch" => sender.epoch);
    let outcome = if status == Some(200) { "accepted" } else { "failed" };
    node.metrics.orders.with_label_values(&["usage", outcome]).inc();
    Ok(status == Some(200))
}

/// Adds up the counts in the rows of all nodes. A row that can't be decoded is left out, since
/// without it the window's other calls would never be reported.
pub(crate) fn add_up(rows: &[Row], log: &Logger) -> Totals {
    let mut totals = Totals::new();
    for row in rows {
        match serde_json::from_str::<Totals>(&row.value) {
            Ok(counts) => counts.into_iter().for_each(|(account, calls)| {
                let total = totals.entry(account).or_default();
                *total = calls.saturating_add(*total);
            }),
            Err(error) => {
                slog::error!(log, "usage: counts ignored"; "key" => &row.key,
                    "error" => excerpt(&error));
            }
        }
    }
    totals
}

/// Adds up the counts of all nodes for a window and writes the totals.
async fn seal_window(node: &Rc<Node>, number: u64, key: String) -> Result<Totals, Error> {
    let totals = add_up(&node.read_prefix(counts_prefix(number)).await?, &node.log);
    let conditions = vec![Condition { key: key.clone(), revision: 0 }];
    let writes = vec![Write { key, value: serde_json::to_string(&totals).ok() }];
    // If the response is lost, the next check reads the totals in case they were written.
    node.commit(conditions, writes).await?;
    Ok(totals)
}

/// Sends a report or an order of targets, and returns the status of the response.
pub(crate) async fn send(
    node: &Node,
    address: SocketAddr,
    message: &OutgoingRequest,
) -> Option<u16> {
    let exchange = async {
        let connection = Connection::open(address, RESPONSE_TIMEOUT).await.ok()?;
        // The lease may have ended while the connection was opened.
        node.duties.permit()?;
        let sent = send_message(connection, message, address, MAX_RESPONSE_BYTES).await;
        Some(sent.ok()?.0.head.status)
    };
    timeout(RESPONSE_TIMEOUT, exchange).await.ok().flatten()
}
