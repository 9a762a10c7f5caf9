//! The text of unfinished items goes to the store from time to time, so that
//! another node or a later job can go on with it.

use std::{cell::RefCell, rc::Rc, time::Duration};

use monoio::time::sleep;
use tamarackdock_platform::{Error, table::Condition};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::{
    end::{batches, write_head},
    job::{Job, Phase},
    rows::{self, Head},
};
use crate::node::Node;

/// Time between saves of a job.
const INTERVAL: Duration = Duration::from_millis(700);
/// Events of an item from which on its text is saved. Short items are made
/// again sooner than their text is read.
const MIN_EVENTS: usize = 12;
/// Pause after a failed save of a job that is handed over.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Saves the text of a job from time to time until the job is closed.
pub(crate) async fn run(node: Rc<Node>, job: Rc<RefCell<Job>>) {
    loop {
        sleep(INTERVAL).await;
        if job.borrow().closed || job.borrow().is_complete() {
            return;
        }
        save(&node, &job, MIN_EVENTS).await;
    }
}

/// Saves the text of unfinished items with so many new events. It only saves
/// work, so that a failure is logged and not repeated.
pub(crate) async fn save(node: &Node, job: &Rc<RefCell<Job>>, min_events: usize) {
    if let Err(error) = try_save(node, job, min_events).await {
        node.store_failed("progress", &error);
    }
}

async fn try_save(node: &Node, job: &Rc<RefCell<Job>>, min_events: usize) -> Result<(), Error> {
    let mut writes = Vec::new();
    let mut saved = Vec::new();
    let condition = {
        let job = job.borrow();
        for (index, work) in job.works.iter().enumerate() {
            if work.phase == Phase::Finished || work.progress.unsaved() < min_events {
                continue;
            }
            let prefix = rows::progress(&job.id, &work.item.id);
            writes.extend(work.progress.segments(&prefix, job.head.epoch));
            saved.push((index, work.progress.events(), work.progress.generation()));
        }
        Condition { key: rows::head(&job.id), revision: job.revision }
    };
    for writes in batches(writes) {
        node.commit(vec![condition.clone()], writes).await?;
    }
    let mut job = job.borrow_mut();
    for (index, events, generation) in saved {
        job.works[index].progress.saved(events, generation);
    }
    Ok(())
}

/// Saves all text of a job whose runs have ended and gives the job up.
pub(crate) async fn last(node: Rc<Node>, job: Rc<RefCell<Job>>, until: Instant) {
    let id = job.borrow().id.clone();
    loop {
        if job.borrow().closed {
            return;
        }
        // The results are committed by the task that does so all along.
        let settled = job.borrow().unlisted.is_empty();
        let result = if settled { give_up(&node, &job).await } else { Err(Error::Unreachable) };
        let late = BootClock.now() >= until;
        if result.is_ok() || late {
            slog::info!(node.log, "job: handed over"; "job" => &*id, "result" => ?result,
                "listed" => job.borrow().listed.len());
            job.borrow_mut().close();
            return;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn give_up(node: &Rc<Node>, job: &Rc<RefCell<Job>>) -> Result<(), Error> {
    try_save(node, job, 1).await?;
    let (id, head, revision) = {
        let job = job.borrow();
        (job.id.clone(), Head { owner: None, ..job.head.clone() }, job.revision)
    };
    write_head(node, &id, &head, revision).await.map(drop)
}
