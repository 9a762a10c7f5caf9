//! Removal of batch jobs whose results no longer have to be kept.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{Error, table::Write};
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    batch::{end::split_writes, rows},
    clock::signed,
    deployment::Name,
    node::Node,
};

/// Time between checks for old jobs.
const INTERVAL: Duration = Duration::from_secs(5);
/// Time for which results are kept beyond the bound of the settings.
const MARGIN: Duration = Duration::from_secs(10);

/// Removes old jobs at intervals while this node holds the duties. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    loop {
        sleep(INTERVAL).await;
        if node.duties.permit().is_none() {
            continue;
        }
        let Some(now) = node.store_clock.millis(BootClock.now()) else { continue };
        let keep = node.settings().bounds.keep_results + MARGIN;
        let oldest = now - signed(u64::try_from(keep.as_millis()).unwrap_or(u64::MAX));
        let old: Vec<Name> = {
            let heads = node.jobs.heads();
            let old = |(_, entry): &(&Name, &crate::batch::index::VersionedHead)| {
                entry.head.ended && entry.head.accepted_ms < oldest
            };
            heads.iter().filter(old).map(|(id, _)| id.clone()).collect()
        };
        for id in old {
            let result = remove(&node, &id).await;
            slog::info!(node.log, "job: removal finished"; "job" => &*id, "result" => ?result);
        }
    }
}

/// Removes the rows of a job, the head last.
async fn remove(node: &Node, id: &str) -> Result<(), Error> {
    for prefix in
        [rows::submission_key(id, None), rows::result_key(id, None), rows::progress_key(id, "")]
    {
        loop {
            let rows = node.store.range(prefix.clone(), prefix.clone()).await?;
            if rows.is_empty() {
                break;
            }
            let writes = rows.into_iter().map(|row| Write { key: row.key, value: None });
            for writes in split_writes(writes.collect()) {
                node.commit(Vec::new(), writes).await?;
            }
        }
    }
    let writes = vec![Write { key: rows::head_key(id), value: None }];
    node.commit(Vec::new(), writes).await.map(drop)
}
