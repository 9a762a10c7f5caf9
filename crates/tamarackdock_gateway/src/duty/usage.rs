//! Usage reports. Each node counts the calls that targets began to run for each
//! client account and window, and stores its counts. The holder of the duties
//! seals a window's sums in the store before it sends them, and only ever sends
//! sealed sums, so that no window is reported with two figures.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use monoio::time::{sleep, timeout};
use tamarackdock_platform::{
    Error,
    table::{Condition, Write},
};

use crate::{
    deployment::Name,
    dialect::Outgoing,
    http::{Connection, send_message},
    node::Node,
    pace,
};

/// Time between looks for windows that can be reported.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time after the end of a window at which its counts are all written, beyond the
/// interval of the writes: the way to the store, several times over.
const SEAL_AFTER: Duration = Duration::from_millis(2800);
/// Age of a window at which it is not looked at any more.
const FORGET_AFTER_MS: i64 = 40_000;
/// Time for the answer to a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Largest answer in bytes.
const MAX_ANSWER: usize = 64 * 1024;
/// Part of the rows.
const PART: &str = "u";

/// Counts of calls by window and client account.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    windows: BTreeMap<u64, Window>,
}

#[derive(Debug, Default)]
struct Window {
    calls: BTreeMap<Name, u64>,
    flushed: bool,
}

impl Meter {
    /// Counts a call that began at a time in Unix milliseconds.
    pub(crate) fn count(&mut self, account: &Name, at_ms: i64, window: Duration) {
        let window = self.windows.entry(window_at(at_ms, window)).or_default();
        *window.calls.entry(account.clone()).or_default() += 1;
        window.flushed = false;
    }

    /// Returns the windows with counts that are not written.
    pub(crate) fn unflushed(&self) -> Vec<(u64, BTreeMap<Name, u64>)> {
        let windows = self.windows.iter().filter(|(_, window)| !window.flushed);
        windows.map(|(number, window)| (*number, window.calls.clone())).collect()
    }

    /// Records that counts of a window were written.
    pub(crate) fn flushed(&mut self, number: u64, calls: &BTreeMap<Name, u64>) {
        if let Some(window) = self.windows.get_mut(&number) {
            window.flushed = window.calls == *calls;
        }
    }

    /// Forgets written windows before a number.
    pub(crate) fn forget_before(&mut self, number: u64) {
        self.windows.retain(|window, counts| *window >= number || !counts.flushed);
    }
}

/// Returns the number of the window that holds a time in Unix milliseconds.
pub(crate) fn window_at(at_ms: i64, window: Duration) -> u64 {
    let length = i64::try_from(window.as_millis()).unwrap_or(i64::MAX).max(1);
    u64::try_from(at_ms.div_euclid(length)).unwrap_or_default()
}

fn window_end_ms(number: u64, window: Duration) -> i64 {
    let length = i64::try_from(window.as_millis()).unwrap_or(i64::MAX);
    i64::try_from(number).unwrap_or(i64::MAX).saturating_add(1).saturating_mul(length)
}

fn counts_prefix(number: u64) -> String {
    format!("usage@{PART}/{number}/")
}

fn sealed_key(number: u64) -> String {
    format!("sealed@{PART}/{number}")
}

/// Writes this node's counts.
pub(crate) async fn flush(node: &Node) -> Result<(), Error> {
    let unflushed = node.usage.borrow().unflushed();
    for (number, calls) in unflushed {
        let run = &node.members.own;
        let key = format!("{}{}-{:016x}", counts_prefix(number), run.host, run.number);
        let value = serde_json::to_string(&calls).ok();
        let writes = vec![Write { key, value }];
        node.commit(Vec::new(), writes).await?;
        node.usage.borrow_mut().flushed(number, &calls);
    }
    Ok(())
}

/// Writes this node's counts for ever.
pub(crate) async fn run_flush(node: Rc<Node>) {
    loop {
        sleep(node.members.interval(pace::USAGE)).await;
        if let Err(error) = flush(&node).await {
            node.store_failed("usage", &error);
        }
        let window = node.settings().bounds.usage_window;
        let oldest = window_at(node.true_millis() - FORGET_AFTER_MS, window);
        node.usage.borrow_mut().forget_before(oldest);
    }
}

/// Reports windows for ever, while this node holds the duties.
pub(crate) async fn run_report(node: Rc<Node>) {
    let window = node.settings().bounds.usage_window;
    let mut done: std::collections::BTreeSet<u64> = std::collections::BTreeSet::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        if node.duties.permit().is_none() || node.settings().orders.is_none() {
            continue;
        }
        let now = node.true_millis();
        let oldest = window_at(now - FORGET_AFTER_MS, window);
        let newest = window_at(now, window);
        let written = (SEAL_AFTER + node.members.interval(pace::USAGE)).as_millis();
        let written = i64::try_from(written).unwrap_or(i64::MAX);
        done.retain(|number| *number >= oldest);
        for number in oldest..newest {
            let ripe = now >= window_end_ms(number, window).saturating_add(written);
            if !ripe || done.contains(&number) {
                continue;
            }
            match report(&node, number).await {
                Ok(true) => {
                    done.insert(number);
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

type Sums = BTreeMap<Name, u64>;

/// Seals a window, or reads its seal, and sends it. Returns whether it arrived.
async fn report(node: &Rc<Node>, number: u64) -> Result<bool, Error> {
    let key = sealed_key(number);
    let sealed = node.store.read(vec![key.clone()]).await?;
    let sums: Sums = match sealed.get(&key) {
        Some(row) => serde_json::from_str(&row.value).map_err(|_| Error::Malformed)?,
        None => seal(node, number, key).await?,
    };
    let calls: Vec<(Name, u64)> = sums.into_iter().collect();
    let Some(sender) = node.duties.permit() else { return Ok(false) };
    let Some(address) = node.settings().orders else { return Ok(false) };
    let message = node.dialect.usage(number, &calls, &sender);
    let status = send(node, address, &message).await;
    slog::info!(node.log, "usage: report"; "window" => number, "status" => status,
        "calls" => calls.iter().map(|(_, calls)| calls).sum::<u64>(), "epoch" => sender.epoch);
    let outcome = if status == Some(200) { "accepted" } else { "failed" };
    node.metrics.orders.with_label_values(&["usage", outcome]).inc();
    Ok(status == Some(200))
}

async fn seal(node: &Rc<Node>, number: u64, key: String) -> Result<Sums, Error> {
    let prefix = counts_prefix(number);
    let rows = node.store.range(prefix.clone(), prefix).await?;
    let mut sums = Sums::new();
    for row in rows {
        let counts: Sums = serde_json::from_str(&row.value).map_err(|_| Error::Malformed)?;
        for (account, calls) in counts {
            *sums.entry(account).or_default() += calls;
        }
    }
    let conditions = vec![Condition { key: key.clone(), revision: 0 }];
    let writes = vec![Write { key, value: serde_json::to_string(&sums).ok() }];
    // After a lost answer the next look reads the seal, if it was written.
    node.commit(conditions, writes).await?;
    Ok(sums)
}

/// Sends a report or an order of targets and returns the status of the answer.
pub(crate) async fn send(node: &Node, address: SocketAddr, message: &Outgoing) -> Option<u16> {
    let exchange = async {
        let mut connection = Connection::open(address, ANSWER_TIMEOUT).await.ok()?;
        // The lease may have ended while the connection was made.
        node.duties.permit()?;
        let sent = send_message(&mut connection, message, address, MAX_ANSWER).await;
        Some(sent.ok()?.0.head.status)
    };
    timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
}
