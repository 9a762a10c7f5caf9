use std::{rc::Rc, time::Duration};

use super::Service;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Polls the store and exchanges messages with peers to keep the configuration up to date.
pub(crate) async fn run(service: Rc<Service>) {
    // A node that starts reads the head at once, since the state machine spreads its polls
    // over the poll interval.
    monoio::spawn(service.clone().poll_head());
    loop {
        service.tick();
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}
