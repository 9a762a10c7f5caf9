use std::time::Duration;

use slog::debug;
use tamarackdock_config::deployment::Kind;

use crate::{context::Context, telemetry::log};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polls the platform's weight store for the newest version of each model.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "weights");
    loop {
        let active = context.active.get();
        let models = active.deployment.services.iter().filter(|s| s.kind == Kind::Model);
        for model in models {
            match context.platform.weights.latest(model.name.clone()).await {
                Ok(latest) => context.weights.advance(&model.name, latest.version),
                Err(error) => debug!(log, "poll failed"; "error" => %error),
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
