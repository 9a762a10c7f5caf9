use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use slog::Logger;
use tamarackdock_lease::Row;
use tamarackdock_types::{
    HostName, TrainerName,
    call::Ran,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::client::Timeouts;

use super::{
    call::Call,
    holder::{Holder, lease_moved},
};
use crate::{
    context::Context,
    peer::{Message, Reply, StepAnswer, StepCall},
    telemetry::log,
};

/// How long a call waits until some node holds the trainer's lease, and a
/// stopping node until its leases are released.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(6);
const TAKEOVER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a holder may take to answer, in addition to the wait that the call
/// requests. A paused host accepts connections but does not answer, and its
/// lease is not taken over before the forwarded call fails.
const FORWARD_GRACE: Duration = Duration::from_secs(2);

/// The result of forwarding a call to the node that holds the lease.
enum Forwarded {
    Answered(StepAnswer),
    /// The holder may have acted on the call.
    Lost,
    /// No holder has acted on the call.
    NotSent,
}

/// Answers calls of trainers, or forwards them to the node that holds the trainer's lease.
pub(crate) struct Service {
    context: Context,
    log: Logger,
    holders: RefCell<BTreeMap<TrainerName, Rc<Holder>>>,
}

impl Service {
    /// Creates a service without trainers.
    pub(crate) fn new(context: Context) -> Self {
        let log = log::part(&context.log, "step");
        Self { context, log, holders: RefCell::default() }
    }

    /// Answers a call whose key has been checked.
    pub(crate) async fn answer(&self, call: &StepCall) -> StepAnswer {
        match self.route(call).await {
            Ok(answer) => answer,
            Err(refusal) => refusal.into(),
        }
    }

    /// Returns the trainer that a call is for.
    pub(crate) fn trainer(call: &StepCall) -> Result<TrainerName, Refusal> {
        Ok(Call::parse(call)?.trainer)
    }

    /// Answers a call that another node forwarded. Returns `None` if this node does not hold the
    /// trainer's lease, or if the call is not valid.
    pub(crate) async fn answer_as_holder(&self, call: &StepCall) -> Option<StepAnswer> {
        let parsed = Call::parse(call).ok()?;
        let holder = self.holder(&parsed.trainer);
        holder.lease.permit()?;
        let answer = holder.answer(parsed).await;
        Some(answer.unwrap_or_else(StepAnswer::from))
    }

    /// Releases the leases of all trainers, so that other nodes continue their
    /// steps, and waits until they are free.
    pub(crate) async fn release_leases(&self) {
        let holders: Vec<_> = self.holders.borrow().values().cloned().collect();
        for holder in &holders {
            holder.lease.release();
        }
        let all_idle = async {
            while !holders.iter().all(|holder| holder.lease.is_idle()) {
                monoio::time::sleep(TAKEOVER_POLL_INTERVAL).await;
            }
        };
        let _ = monoio::time::timeout(TAKEOVER_TIMEOUT, all_idle).await;
    }

    /// Returns the state of each trainer as JSON, for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.holders.borrow().values().map(|holder| holder.dump()).collect()
    }

    async fn route(&self, call: &StepCall) -> Result<StepAnswer, Refusal> {
        let parsed = Call::parse(call)?;
        let deadline = monoio::time::Instant::now() + TAKEOVER_TIMEOUT;
        let mut ran = Ran::No;
        loop {
            let holder = self.holder(&parsed.trainer);
            if holder.lease.permit().is_some() {
                return holder.answer(parsed).await;
            }
            match self.forward(&parsed, call).await {
                Forwarded::Answered(answer) => {
                    // The holder works, so this node need not poll the lease row as a candidate.
                    holder.lease.release();
                    return Ok(answer);
                }
                Forwarded::Lost => ran = Ran::Unknown,
                Forwarded::NotSent => {}
            }
            if self.context.leaving.is_set() {
                return Err(Refusal { ran, ..stopping() });
            }
            holder.lease.acquire();
            if monoio::time::Instant::now() >= deadline {
                return Err(Refusal { ran, ..lease_moved() });
            }
            monoio::time::sleep(TAKEOVER_POLL_INTERVAL).await;
        }
    }

    /// Forwards a call to the holder that the lease row names. Reads,
    /// acknowledgements and the opening of a step are idempotent, so the call can
    /// be repeated after a lost reply.
    async fn forward(&self, parsed: &Call, call: &StepCall) -> Forwarded {
        let holder = self.read_holder(&parsed.trainer).await;
        let holder = holder.filter(|holder| *holder != self.context.settings.host);
        let address = holder.and_then(|holder| self.context.peers.address(&holder));
        let Some(address) = address else {
            return Forwarded::NotSent;
        };
        let first_byte = parsed.wait() + FORWARD_GRACE;
        let timeouts = Timeouts { first_byte, ..Timeouts::default() };
        let message = Message::Step(call.clone());
        match self.context.peer_client.call(address, &message, timeouts).await {
            Ok(Reply::Step(answer)) => Forwarded::Answered(answer),
            // A node that is not the holder has not acted on the call.
            Ok(_) => Forwarded::NotSent,
            Err(failure) if failure.ran() == Ran::No => Forwarded::NotSent,
            Err(_) => Forwarded::Lost,
        }
    }

    async fn read_holder(&self, trainer: &TrainerName) -> Option<HostName> {
        let key = format!("lease/step/{trainer}");
        let mut rows = self.context.platform.table.read(vec![key.clone()]).await.ok()?;
        let row = Row::decode(&rows.remove(&key)?.value).ok()?;
        (!row.released).then_some(row.holder)
    }

    fn holder(&self, trainer: &TrainerName) -> Rc<Holder> {
        let mut holders = self.holders.borrow_mut();
        let spawn = || Holder::spawn(&self.context, trainer, &self.log);
        holders.entry(trainer.clone()).or_insert_with(spawn).clone()
    }
}

fn stopping() -> Refusal {
    let message = "the node is stopping; retry";
    Refusal::not_run(Code::Stopping, message).retry_after(Duration::from_secs(1))
}
