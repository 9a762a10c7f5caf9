use std::{rc::Rc, time::Duration};

use super::Service;

const TICK: Duration = Duration::from_millis(50);

/// Keeps the configuration up to date.
pub(crate) async fn run(service: Rc<Service>) {
    // The pure state spreads its polls over the interval; a node that starts reads
    // the head at once.
    monoio::spawn(service.clone().poll_head());
    loop {
        service.tick();
        monoio::time::sleep(TICK).await;
    }
}
