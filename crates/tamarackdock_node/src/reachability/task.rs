use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tamarackdock_config::reachability::{KeyStatus, Query};
use tamarackdock_types::clock::{BootClock, Clock};
use tamarackdock_wire::client::Timeouts;

use crate::{
    context::Context,
    peer::{Message, Reply},
    telemetry::log,
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeouts of one query. The first query is sent 600 ms before the cut-off, so that a query
/// that is lost on an unresponsive connection can be repeated in time.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(250),
    first_byte: Duration::from_millis(300),
    between_bytes: Duration::from_millis(300),
};

/// Collects proofs that the keys are valid, and updates the gate and the metric.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "reachability");
    let mut previous = KeyStatus::CutOff;
    let mut revision = None;
    loop {
        if revision != Some(context.peers.revision()) {
            revision = Some(context.peers.revision());
            update_members(&context);
        }
        let queries = context.gate.with(|state| state.tick(BootClock.now(), rand::random()));
        for query in queries {
            monoio::spawn(send_query(context.clone(), log.clone(), query));
        }
        let key_status = context.gate.refresh();
        if key_status != previous {
            report_key_status(&context, &log, key_status);
            previous = key_status;
        }
        monoio::time::sleep(TICK_INTERVAL).await;
    }
}

fn update_members(context: &Context) {
    let all = context.peers.all().into_iter();
    let live = context.peers.live().into_iter().map(|entry| entry.status.host);
    context.gate.with(|state| {
        state.set_hosts(all.map(|entry| (entry.status.host, entry.data_centre)));
        state.set_live(BootClock.now(), live);
    });
}

/// Updates the metric and logs a changed key status.
fn report_key_status(context: &Context, log: &Logger, key_status: KeyStatus) {
    context.metrics.cut_off.set(i64::from(!key_status.serves_keys()));
    match key_status {
        KeyStatus::CutOff => warn!(log, "cut off, keyed calls are refused"),
        key_status => info!(log, "keyed calls are served"; "verdict" => ?key_status),
    }
}

async fn send_query(context: Context, log: Logger, Query { to, sent }: Query) {
    let Some(address) = context.peers.address(&to) else { return };
    let message = Message::Reachability(sent);
    match context.peer_client.call(address, &message, TIMEOUTS).await {
        Ok(Reply::Reachability(answer)) if answer.sent == sent => {
            context.gate.with(|state| state.on_answer(&to, answer));
        }
        Ok(_) => debug!(log, "unexpected reply"; "host" => %to),
        Err(error) => debug!(log, "reachability query failed"; "host" => %to, "error" => %error),
    }
}
