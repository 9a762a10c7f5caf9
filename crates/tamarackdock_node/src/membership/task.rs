use std::{rc::Rc, time::Duration};

use super::Service;
use crate::context::Context;

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const HOST_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two polls while the node knows no other one.
const FIRST_HOST_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Probes members and polls the platform's host list.
pub(crate) async fn run(context: Context, service: Rc<Service>) {
    monoio::spawn(poll_hosts(context, service.clone()));
    loop {
        service.tick();
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

async fn poll_hosts(context: Context, service: Rc<Service>) {
    loop {
        service.poll_hosts().await;
        let is_alone = context.peers.live().is_empty();
        monoio::time::sleep(if is_alone { FIRST_HOST_POLL_INTERVAL } else { HOST_POLL_INTERVAL })
            .await;
    }
}
