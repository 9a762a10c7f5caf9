use futures_util::{
    future::{Either, select},
    pin_mut,
};
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::server::{Request, Response};

use super::access;
use crate::{context::Context, peer::StepCall, step::Service};

/// Answers a trainer's call after it has checked that the key's account owns the trainer.
pub(super) async fn handle(
    context: &Context,
    steps: &Service,
    request: &Request,
) -> Result<Response, Refusal> {
    let active = context.active.get();
    let (key, cancellation) = access::authenticate(&active, &context.gate, request)?;
    let call = StepCall {
        method: request.method.as_str().into(),
        uri: request.uri.to_string(),
        body: request.body.to_vec(),
    };
    let name = Service::trainer(&call)?;
    let trainer = active.trainer(name.as_str());
    if trainer.is_none_or(|trainer| trainer.account != key.account.name) {
        let message = format!("the key's account has no trainer `{name}`");
        return Err(Refusal::not_run(Code::NotFound, message));
    }
    let work = steps.answer(&call);
    let cancelled = cancellation.wait();
    pin_mut!(work, cancelled);
    match select(work, cancelled).await {
        Either::Left((answer, _)) => Ok(answer.into()),
        Either::Right((refusal, _)) => Err(refusal),
    }
}
