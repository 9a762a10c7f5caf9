use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use standin::engine::{expected_text, expected_token_ids};
use tamarackdock_wire::{
    server::{Handler, Options, Request, Response, listen},
    stream,
};

/// Tokens of every answer.
const TOKENS: u64 = 4;
/// An index that no slot has.
pub(crate) const FOREIGN_INDEX: u64 = 77;
/// Samples of a page.
const PAGE: usize = 3;

/// A promise that the node breaks once for the first sample or answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Breach {
    Slot,
    Text,
    Span,
    FutureVersion,
    Stale,
    Duplicate,
    Missing,
    Changed,
    Truncated,
    Refused,
}

/// A minimal caller port, for tests of the trainer and the app.
#[derive(Default)]
pub(crate) struct Node {
    pub(crate) lose_reads: Cell<u32>,
    pub(crate) breach: Cell<Option<Breach>>,
    pub(crate) cursors: RefCell<Vec<usize>>,
    pub(crate) acknowledged: Cell<u64>,
    step: RefCell<Value>,
}

impl Node {
    /// Serves on the test's own thread.
    pub(crate) fn spawn(breach: Option<Breach>) -> (SocketAddr, Rc<Self>) {
        let node = Rc::new(Self { breach: Cell::new(breach), ..Self::default() });
        let handler = Rc::new(Port(node.clone()));
        let listener = listen("127.0.0.1:0".parse().unwrap(), handler, Options::default());
        (listener.unwrap().address(), node)
    }

    fn breaks(&self, breach: Breach) -> bool {
        self.breach.get() == Some(breach)
    }

    fn samples(&self) -> Vec<Value> {
        let step = self.step.borrow();
        let prompts = step["prompts"].as_array().unwrap().clone();
        let size = step["group_size"].as_u64().unwrap();
        let slot =
            |group: usize, index| self.sample(group, index, prompts[group].as_str().unwrap());
        let groups = 0..prompts.len();
        let mut samples: Vec<_> =
            groups.flat_map(|group| (0..size).map(move |index| slot(group, index))).collect();
        match self.breach.get() {
            Some(Breach::Duplicate) => samples.push(samples[0].clone()),
            Some(Breach::Missing) => drop(samples.pop()),
            _ => {}
        }
        samples
    }

    fn sample(&self, group: usize, index: u64, prompt: &str) -> Value {
        let breaks = |breach| group == 0 && index == 0 && self.breaks(breach);
        let changes = self.breaks(Breach::Changed) && self.cursors.borrow().len() > 1;
        let is_foreign = breaks(Breach::Text) || changes;
        let text = if is_foreign { "other" } else { prompt };
        let version = match self.breach.get() {
            Some(Breach::Stale) if breaks(Breach::Stale) => 3,
            Some(Breach::FutureVersion) if breaks(Breach::FutureVersion) => 6,
            _ => 5,
        };
        let span = TOKENS - 1 - u64::from(breaks(Breach::Span));
        json!({
            "group": group,
            "index": if breaks(Breach::Slot) { FOREIGN_INDEX } else { index },
            "text": expected_text(text, TOKENS),
            "token_ids": expected_token_ids(text, TOKENS),
            "spans": [
                {"tokens": span, "weight_version": version},
                {"tokens": 1, "weight_version": 5},
            ],
        })
    }

    fn read(&self, cursor: usize) -> Response {
        self.cursors.borrow_mut().push(cursor);
        if self.lose_reads.get() > 0 {
            self.lose_reads.set(self.lose_reads.get() - 1);
            return lost();
        }
        let samples = self.samples();
        let end = samples.len().min(cursor + PAGE);
        let is_complete = end == samples.len();
        let page = &samples[cursor..end];
        ok(&json!({"samples": page, "next_cursor": end, "complete": is_complete}))
    }

    fn complete(&self, body: &Value) -> Response {
        if self.breaks(Breach::Refused) {
            let error = json!({"error": {"code": "overloaded", "message": "", "ran": "no"}});
            return Response::json(StatusCode::TOO_MANY_REQUESTS, &error);
        }
        let asked = body["prompt"].as_str().unwrap();
        let prompt = if self.breaks(Breach::Text) { "other" } else { asked };
        let finish = (!self.breaks(Breach::Truncated)).then_some("stop");
        let text = expected_text(prompt, TOKENS);
        let value = json!({"choices": [{"index": 0, "text": text, "finish_reason": finish}]});
        if body["stream"] == json!(true) {
            let end = if finish.is_some() { "data: [DONE]\n\n" } else { "" };
            let events = format!("data: {value}\n\n{end}");
            return Response::new(StatusCode::OK, "text/event-stream", events);
        }
        ok(&value)
    }

    fn answer(&self, request: &Request) -> Response {
        let body = serde_json::from_slice(&request.body).unwrap_or_default();
        let key = request.header("authorization");
        match (request.method.as_str(), request.path()) {
            _ if key != Some("Bearer key") => Response::json(StatusCode::UNAUTHORIZED, &json!({})),
            ("POST", "/v1/completions") => self.complete(&body),
            ("POST", "/v1/steps") => {
                self.step.replace(body);
                ok(&json!({}))
            }
            ("GET", _) => self.read(request.parameter("cursor").unwrap().parse().unwrap()),
            _ => {
                self.acknowledged.set(body["cursor"].as_u64().unwrap());
                ok(&json!({}))
            }
        }
    }
}

struct Port(Rc<Node>);

impl Handler for Port {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move { self.0.answer(&request) }.boxed_local()
    }
}

fn ok(value: &Value) -> Response {
    Response::json(StatusCode::OK, value)
}

fn lost() -> Response {
    let nothing = std::future::ready(()).boxed_local();
    let content_type = HeaderValue::from_static("text/plain");
    Response::stream(StatusCode::OK, content_type, stream::channel().1, nothing)
}
