use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use slog::Logger;
use tamarackdock_lease::Row;
use tamarackdock_types::{
    HostName, TrainerName,
    call::Ran,
    refusal::{Code, Refusal},
};
use tamarackdock_wire::client::Deadlines;

use super::{
    call::Call,
    holder::{Holder, moved},
};
use crate::{
    context::Context,
    peer::{Message, Reply, StepAnswer, StepCall},
    telemetry::log,
};

const TAKEOVER_WAIT: Duration = Duration::from_secs(6);
const TAKEOVER_POLL: Duration = Duration::from_millis(250);
/// How long a holder may take to answer, besides the time for which the call
/// itself asks it to wait. A paused host accepts connections and answers
/// nothing, and its lease is not taken over before the forwarded call fails.
const FORWARD_GRACE: Duration = Duration::from_secs(2);

/// The result of passing a call to the node that holds the lease.
enum Forwarded {
    Answered(StepAnswer),
    /// The holder may have acted on the call.
    Lost,
    /// No holder has acted on the call.
    NotSent,
}

/// Answers trainers, here or through the node that holds the trainer's lease.
pub(crate) struct Service {
    context: Context,
    log: Logger,
    holders: RefCell<BTreeMap<TrainerName, Rc<Holder>>>,
}

impl Service {
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

    /// Answers a call that another node forwarded, only as the holder.
    pub(crate) async fn answer_as_holder(&self, call: &StepCall) -> Option<StepAnswer> {
        let parsed = Call::parse(call).ok()?;
        let holder = self.holder(&parsed.trainer);
        holder.lease.permit()?;
        let answer = holder.answer(parsed).await;
        Some(answer.unwrap_or_else(StepAnswer::from))
    }

    /// Gives all trainers' leases up, so that other nodes go on with their steps.
    pub(crate) async fn hand_over(&self) {
        let holders: Vec<_> = self.holders.borrow().values().cloned().collect();
        for holder in &holders {
            holder.lease.release();
        }
        let all_idle = async {
            while !holders.iter().all(|holder| holder.lease.is_idle()) {
                monoio::time::sleep(TAKEOVER_POLL).await;
            }
        };
        let _ = monoio::time::timeout(TAKEOVER_WAIT, all_idle).await;
    }

    /// Describes the state.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.holders.borrow().values().map(|holder| holder.dump()).collect()
    }

    async fn route(&self, call: &StepCall) -> Result<StepAnswer, Refusal> {
        let parsed = Call::parse(call)?;
        let deadline = monoio::time::Instant::now() + TAKEOVER_WAIT;
        let mut ran = Ran::No;
        loop {
            let holder = self.holder(&parsed.trainer);
            if holder.lease.permit().is_some() {
                return holder.answer(parsed).await;
            }
            match self.forward(&parsed, call).await {
                Forwarded::Answered(answer) => {
                    // Candidates poll the lease row, and the holder is well.
                    holder.lease.release();
                    return Ok(answer);
                }
                Forwarded::Lost => ran = Ran::Unknown,
                Forwarded::NotSent => {}
            }
            if self.context.leaving.is_raised() {
                return Err(Refusal { ran, ..stopping() });
            }
            holder.lease.want();
            if monoio::time::Instant::now() >= deadline {
                return Err(Refusal { ran, ..moved() });
            }
            monoio::time::sleep(TAKEOVER_POLL).await;
        }
    }

    /// Forwards a call to the holder that the lease row names. Reads and
    /// acknowledgements can be repeated, and opening a step is idempotent, so
    /// that a lost reply needs no care.
    async fn forward(&self, parsed: &Call, call: &StepCall) -> Forwarded {
        let holder = self.named_holder(&parsed.trainer).await;
        let holder = holder.filter(|holder| *holder != self.context.settings.host);
        let address = holder.and_then(|holder| self.context.peers.address(&holder));
        let Some(address) = address else {
            return Forwarded::NotSent;
        };
        let first_byte = parsed.wait() + FORWARD_GRACE;
        let deadlines = Deadlines { first_byte, ..Deadlines::default() };
        let message = Message::Step(call.clone());
        match self.context.peer_client.call(address, &message, deadlines).await {
            Ok(Reply::Step(answer)) => Forwarded::Answered(answer),
            // A node that is not the holder has not acted on the call.
            Ok(_) => Forwarded::NotSent,
            Err(failure) if failure.ran() == Ran::No => Forwarded::NotSent,
            Err(_) => Forwarded::Lost,
        }
    }

    async fn named_holder(&self, trainer: &TrainerName) -> Option<HostName> {
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
    let message = "the node is stopping; ask again";
    Refusal::not_run(Code::Stopping, message).retry_after(Duration::from_secs(1))
}
