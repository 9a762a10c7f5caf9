use futures_util::{
    FutureExt,
    future::{Either, LocalBoxFuture, select},
    pin_mut,
};
use http::{HeaderValue, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tamarackdock_admit::Level;
use tamarackdock_types::{
    refusal::{Code, Refusal},
    weight::Version,
};
use tamarackdock_wire::{
    server::{Request, Response},
    stream::{self, Piece},
};

use super::{
    access::{self, Authorization},
    cancellation::Cancellation,
};
use crate::{
    context::Context,
    engine::{Event, Generation, Sink},
    router::Admitted,
};

const DEFAULT_MAX_TOKENS: u32 = 16;

#[derive(Deserialize)]
struct Body {
    model: String,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(flatten)]
    extra: serde_json::Map<String, serde_json::Value>,
}

const fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

/// Fields that the node sets in its requests to engines, so that callers must not set them.
const RESERVED: [&str; 2] = ["priority", "resume_tokens"];

/// Answers a completion request, as one body or as a stream of server-sent events.
pub(super) async fn handle(
    context: &Context,
    request: &Request,
    id: String,
) -> Result<Response, Refusal> {
    let body: Body = serde_json::from_slice(&request.body).map_err(|error| {
        Refusal::not_run(Code::BadRequest, format!("the body is not a completion request: {error}"))
    })?;
    let active = context.active.get();
    let Authorization { service, account, cancellation } =
        access::authorize(&active, &context.gate, request, &body.model)?;
    let mut extra = body.extra;
    extra.retain(|name, _| !RESERVED.contains(&name.as_str()));
    let generation = Generation {
        id,
        service: service.name.clone(),
        account,
        prompt: body.prompt,
        max_tokens: body.max_tokens,
        level: Level::App,
        idempotent: service.idempotent,
        extra,
    };
    let admitted = context.router.admit(generation.admission_request()).await?;
    if body.stream {
        return Ok(stream_response(context.clone(), generation, cancellation, admitted));
    }
    full_response(context, &generation, &cancellation, admitted).await
}

/// Collects the events of a generation for an answer in one body.
#[derive(Default)]
struct Collector {
    text: String,
    finish_reason: Option<String>,
    version: Version,
}

impl Sink for Collector {
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool> {
        self.text.push_str(&event.text);
        self.version = event.version;
        self.finish_reason = event.finish_reason.or(self.finish_reason.take());
        std::future::ready(true).boxed_local()
    }
}

async fn full_response(
    context: &Context,
    generation: &Generation,
    cancellation: &Cancellation,
    admitted: Admitted,
) -> Result<Response, Refusal> {
    let _admitted = admitted;
    let mut collected = Collector::default();
    let summary = {
        let work = generation.run(context, &mut collected);
        let cancelled = cancellation.wait();
        pin_mut!(work, cancelled);
        match select(work, cancelled).await {
            Either::Left((result, _)) => result?,
            Either::Right((refusal, _)) => return Err(refusal),
        }
    };
    let body = json!({
        "id": generation.id,
        "object": "text_completion",
        "model": generation.service,
        "choices": [{"index": 0, "text": collected.text, "finish_reason": collected.finish_reason}],
        "usage": {"completion_tokens": summary.tokens},
        "weight_version": collected.version,
    });
    Ok(Response::json(StatusCode::OK, &body))
}

/// Passes the events of a generation to the caller as server-sent events.
struct Forwarder {
    id: String,
    model: String,
    pieces: stream::Sender,
}

impl Sink for Forwarder {
    fn accept(&mut self, event: Event) -> LocalBoxFuture<'_, bool> {
        let body = json!({
            "id": self.id,
            "object": "text_completion",
            "model": self.model,
            "choices": [{"index": 0, "text": event.text, "finish_reason": event.finish_reason}],
            "weight_version": event.version,
        });
        self.pieces.send(Piece::Data(format!("data: {body}\n\n").into())).boxed_local()
    }
}

fn stream_response(
    context: Context,
    generation: Generation,
    cancellation: Cancellation,
    admitted: Admitted,
) -> Response {
    let (mut pieces, receiver) = stream::channel();
    let producer = async move {
        let _admitted = admitted;
        let mut forwarder = Forwarder {
            id: generation.id.clone(),
            model: generation.service.as_str().into(),
            pieces: pieces.clone(),
        };
        let result = {
            let work = generation.run(&context, &mut forwarder);
            let cancelled = cancellation.wait();
            pin_mut!(work, cancelled);
            match select(work, cancelled).await {
                Either::Left((result, _)) => result,
                // Cuts the stream off without its end, so that the caller can't take it for
                // complete.
                Either::Right(_) => return,
            }
        };
        let last = match result {
            Ok(_) => "data: [DONE]\n\n".to_owned(),
            Err(refusal) => {
                let error = json!({"error": {
                    "code": refusal.code, "message": refusal.message, "ran": refusal.ran,
                }});
                format!("data: {error}\n\n")
            }
        };
        if pieces.send(Piece::Data(last.into())).await {
            pieces.send(Piece::End).await;
        }
    };
    let content_type = HeaderValue::from_static("text/event-stream");
    Response::stream(StatusCode::OK, content_type, receiver, producer.boxed_local())
}
