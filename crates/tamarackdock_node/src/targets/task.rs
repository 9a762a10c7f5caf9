use std::time::Duration;

use futures_util::future::join_all;
use slog::debug;

use crate::{context::Context, telemetry::log};

/// A leaving target gets no new work after 3 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform's lists of targets.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "targets");
    loop {
        let active = context.active.get();
        join_all(active.deployment.data_centres.iter().map(|centre| async {
            match context.platform.orders.list(centre.name.clone()).await {
                Ok(listed) => context.targets.set_list(&centre.name, listed),
                Err(error) => debug!(log, "poll failed"; "error" => %error),
            }
        }))
        .await;
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
