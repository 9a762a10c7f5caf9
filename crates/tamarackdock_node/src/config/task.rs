use std::time::Duration;

use serde::Deserialize;
use slog::{Logger, info, warn};
use tamarackdock_config::Deployment;
use tamarackdock_platform::{Error, table::Row};

use crate::{context::Context, telemetry::log};

const POLL_INTERVAL: Duration = Duration::from_millis(500);
const HEAD: &str = "config/head";

#[derive(Deserialize)]
struct Head {
    version: u64,
}

/// Polls the head row and activates newer versions.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "config");
    loop {
        if let Err(error) = poll(&context, &log).await {
            warn!(log, "head poll failed"; "error" => %error);
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll(context: &Context, log: &Logger) -> Result<(), Error> {
    let Some(row) = read(context, HEAD.into()).await? else {
        return Ok(());
    };
    let head: Head = parse(&row.value)?;
    if head.version <= context.active.get().version {
        return Ok(());
    }
    let key = format!("config/v/{}", head.version);
    let row = read(context, key).await?.ok_or(Error::Malformed)?;
    let deployment: Deployment = parse(&row.value)?;
    if context.active.advance(head.version, deployment) {
        context.router.configure(context.active.get());
        context.metrics.config_version.set(i64::try_from(head.version).unwrap_or(i64::MAX));
        info!(log, "configuration active"; "version" => head.version);
    }
    Ok(())
}

async fn read(context: &Context, key: String) -> Result<Option<Row>, Error> {
    let mut rows = context.platform.table.read(vec![key.clone()]).await?;
    Ok(rows.remove(&key))
}

fn parse<T: serde::de::DeserializeOwned>(text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|_| Error::Malformed)
}
