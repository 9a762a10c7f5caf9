use std::time::Duration;

use futures_util::future::join_all;
use slog::debug;

use crate::{context::Context, telemetry::log};

/// Time between two polls. A target that leaves must get no new work after 3 s.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform's list of targets of each data centre.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "targets");
    loop {
        let active = context.active.get();
        join_all(active.deployment.data_centres.iter().map(|data_centre| async {
            match context.platform.orders.list(data_centre.name.clone()).await {
                Ok(listed) => context.targets.set_list(&data_centre.name, listed),
                Err(error) => debug!(log, "poll failed"; "error" => %error),
            }
        }))
        .await;
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
