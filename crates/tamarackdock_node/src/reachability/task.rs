use std::time::Duration;

use slog::{Logger, debug, info, warn};
use tamarackdock_config::reachability::{Ask, Verdict};
use tamarackdock_types::clock::{BootClock, Clock};
use tamarackdock_wire::client::Deadlines;

use crate::{
    context::Context,
    peer::{Message, Reply},
    telemetry::log,
};

const TICK: Duration = Duration::from_millis(50);
/// Between the first question and the cut-off lie 600 ms, so that a question that
/// a silent connection swallowed can be repeated.
const DEADLINES: Deadlines = Deadlines {
    connect: Duration::from_millis(250),
    first_byte: Duration::from_millis(300),
    between_bytes: Duration::from_millis(300),
};

/// Collects the proofs that the keys are valid, and applies the verdict.
pub(crate) async fn run(context: Context) {
    let log = log::part(&context.log, "reachability");
    let mut former = Verdict::CutOff;
    let mut revision = None;
    loop {
        if revision != Some(context.peers.revision()) {
            revision = Some(context.peers.revision());
            set_members(&context);
        }
        let asks = context.gate.with(|state| state.tick(BootClock.now(), rand::random()));
        for question in asks {
            monoio::spawn(ask(context.clone(), log.clone(), question));
        }
        let verdict = context.gate.refresh();
        if verdict != former {
            announce(&context, &log, verdict);
            former = verdict;
        }
        monoio::time::sleep(TICK).await;
    }
}

fn set_members(context: &Context) {
    let all = context.peers.all().into_iter();
    let live = context.peers.live().into_iter().map(|entry| entry.status.host);
    context.gate.with(|state| {
        state.set_hosts(all.map(|entry| (entry.status.host, entry.data_centre)));
        state.set_live(BootClock.now(), live);
    });
}

fn announce(context: &Context, log: &Logger, verdict: Verdict) {
    context.metrics.cut_off.set(i64::from(!verdict.serves_keys()));
    match verdict {
        Verdict::CutOff => warn!(log, "cut off, keyed calls are refused"),
        verdict => info!(log, "keyed calls are served"; "verdict" => ?verdict),
    }
}

async fn ask(context: Context, log: Logger, Ask { to, sent }: Ask) {
    let Some(address) = context.peers.address(&to) else { return };
    let message = Message::Reachability(sent);
    match context.peer_client.call(address, &message, DEADLINES).await {
        Ok(Reply::Reachability(answer)) if answer.sent == sent => {
            context.gate.with(|state| state.answered(&to, answer));
        }
        Ok(_) => debug!(log, "unexpected reply"; "host" => %to),
        Err(error) => debug!(log, "question failed"; "host" => %to, "error" => %error),
    }
}
