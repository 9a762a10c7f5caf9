//! Removal of rows that no host needs any more: those of hosts that are gone, and the usage counts of
//! windows that were reported long ago. See `docs/incidents/rows-of-replaced-hosts.md`.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{
    Error,
    table::{Condition, Row, Write},
};
use tamarackdock_types::clock::{BootClock, Clock};

use super::{clear, usage};
use crate::{batch::end::split_writes, members, node::Node};

/// Time between checks for hosts that are gone.
const INTERVAL: Duration = Duration::from_secs(5);
/// Time between checks for old usage counts.
const USAGE_INTERVAL: Duration = Duration::from_mins(1);
/// Most rows of hosts in one transaction, which has a condition for each of them.
const MAX_HOSTS: usize = 50;

/// Removes rows at intervals while this node holds the duties. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    let mut usage_checked = BootClock.now();
    loop {
        sleep(INTERVAL).await;
        if node.duties.permit().is_none() {
            continue;
        }
        if let Err(error) = forget_hosts(&node).await {
            node.store_failed("forget hosts", &error);
        }
        if BootClock.now().since(usage_checked) < USAGE_INTERVAL {
            continue;
        }
        usage_checked = BootClock.now();
        if let Err(error) = forget_usage(&node).await {
            node.store_failed("forget usage", &error);
        }
    }
}

/// Removes the rows of hosts that have been silent for as long as results are kept. A host that comes
/// back writes its row again. One that renews its row meanwhile changes the revision, which is a
/// condition of the removal.
async fn forget_hosts(node: &Node) -> Result<(), Error> {
    let keep = clear::keep_time(node);
    for hosts in node.members.silent_for(keep).chunks(MAX_HOSTS) {
        let keys = || hosts.iter().map(|(host, revision)| (members::row_key(host), *revision));
        let conditions = keys().map(|(key, revision)| Condition { key, revision }).collect();
        let writes = keys().map(|(key, _)| Write { key, value: None }).collect();
        match node.commit(conditions, writes).await {
            Ok(revision) => slog::info!(node.log, "members: rows of silent hosts removed";
                "hosts" => hosts.iter().map(|(host, _)| &**host).collect::<Vec<_>>().join(","),
                "silent_ms" => keep.as_millis(), "revision" => revision),
            // A host is back, or another holder was faster. The next read of the rows tells.
            Err(Error::Conflict { key }) => {
                slog::info!(node.log, "members: rows of silent hosts not removed"; "changed" => key);
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Removes the counts and sums of old windows.
async fn forget_usage(node: &Node) -> Result<(), Error> {
    for prefix in usage::PREFIXES {
        loop {
            let page = node.store.range(prefix.to_owned(), prefix.to_owned()).await?;
            let oldest = usage::oldest_kept(node);
            let is_old = |row: &Row| {
                usage::window_of(&row.key, prefix).is_some_and(|window| window < oldest)
            };
            let old: Vec<Write> = page
                .iter()
                .filter(|row| is_old(row))
                .map(|row| Write { key: row.key.clone(), value: None })
                .collect();
            let count = old.len();
            for writes in split_writes(old) {
                node.commit(Vec::new(), writes).await?;
            }
            if count > 0 {
                slog::info!(node.log, "usage: old rows removed"; "prefix" => prefix, "rows" => count,
                    "before" => oldest);
            }
            if count == 0 || count < page.len() {
                break;
            }
        }
    }
    Ok(())
}
