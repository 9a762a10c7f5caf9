use std::{rc::Rc, time::Duration};

use super::Service;
use crate::context::Context;

const TICK: Duration = Duration::from_millis(100);
const HOST_POLL: Duration = Duration::from_secs(2);
/// Time between two polls of a node that knows no other one.
const FIRST_HOST_POLL: Duration = Duration::from_millis(250);

/// Probes members and polls the platform's host list.
pub(crate) async fn run(context: Context, service: Rc<Service>) {
    monoio::spawn(poll(context, service.clone()));
    loop {
        service.tick();
        monoio::time::sleep(TICK).await;
    }
}

async fn poll(context: Context, service: Rc<Service>) {
    loop {
        service.poll_hosts().await;
        let alone = context.peers.live().is_empty();
        monoio::time::sleep(if alone { FIRST_HOST_POLL } else { HOST_POLL }).await;
    }
}
