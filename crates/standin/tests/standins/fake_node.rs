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

/// Tokens of every answer and sample.
const TOKENS: u64 = 4;
/// An index in a group that no slot has.
pub(crate) const UNKNOWN_INDEX: u64 = 77;
/// Largest number of samples in a page.
const PAGE_SIZE: usize = 3;

/// A fault of the first sample of a step, or of an answer or a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The sample has an index that does not exist.
    UnknownSlot,
    /// The text belongs to another prompt.
    WrongText,
    /// The spans have fewer tokens than the sample.
    ShortSpan,
    /// A span has a weight version that does not exist yet.
    FutureVersion,
    /// A span has a weight version that is two versions old.
    Stale,
    /// The sample is delivered a second time, as the last one.
    Duplicate,
    /// The last sample is never delivered.
    Missing,
    /// The text differs when a page is read again.
    ChangedPage,
    /// The answer ends without a finish reason.
    Truncated,
    /// The call is refused.
    Refused,
}

/// A minimal node with a caller port, for tests of the trainer and the app.
#[derive(Default)]
pub(crate) struct FakeNode {
    /// How many of the next reads lose their response.
    pub(crate) lose_reads: Cell<u32>,
    pub(crate) fault: Cell<Option<Fault>>,
    /// Cursors of all reads.
    pub(crate) cursors: RefCell<Vec<usize>>,
    /// Cursor of the last acknowledgement.
    pub(crate) acknowledged: Cell<u64>,
    /// Body of the last request for a step.
    step: RefCell<Value>,
}

impl FakeNode {
    /// Starts a node on the test's own thread.
    pub(crate) fn spawn(fault: Option<Fault>) -> (SocketAddr, Rc<Self>) {
        let node = Rc::new(Self { fault: Cell::new(fault), ..Self::default() });
        let handler = Rc::new(CallerPort(node.clone()));
        let listener = listen("127.0.0.1:0".parse().unwrap(), handler, Options::default());
        (listener.unwrap().address(), node)
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.fault.get() == Some(fault)
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
        match self.fault.get() {
            Some(Fault::Duplicate) => samples.push(samples[0].clone()),
            Some(Fault::Missing) => drop(samples.pop()),
            _ => {}
        }
        samples
    }

    fn sample(&self, group: usize, index: u64, prompt: &str) -> Value {
        let is_faulty = |fault| group == 0 && index == 0 && self.has_fault(fault);
        let changes = self.has_fault(Fault::ChangedPage) && self.cursors.borrow().len() > 1;
        let has_wrong_text = is_faulty(Fault::WrongText) || changes;
        let text = if has_wrong_text { "other" } else { prompt };
        let version = match self.fault.get() {
            Some(Fault::Stale) if is_faulty(Fault::Stale) => 3,
            Some(Fault::FutureVersion) if is_faulty(Fault::FutureVersion) => 6,
            _ => 5,
        };
        let span = TOKENS - 1 - u64::from(is_faulty(Fault::ShortSpan));
        json!({
            "group": group,
            "index": if is_faulty(Fault::UnknownSlot) { UNKNOWN_INDEX } else { index },
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
            return truncated_response();
        }
        let samples = self.samples();
        let end = samples.len().min(cursor + PAGE_SIZE);
        let is_complete = end == samples.len();
        let page = &samples[cursor..end];
        ok(&json!({"samples": page, "next_cursor": end, "complete": is_complete}))
    }

    fn complete(&self, body: &Value) -> Response {
        if self.has_fault(Fault::Refused) {
            let error = json!({"error": {"code": "overloaded", "message": "", "ran": "no"}});
            return Response::json(StatusCode::TOO_MANY_REQUESTS, &error);
        }
        let asked_prompt = body["prompt"].as_str().unwrap();
        let prompt = if self.has_fault(Fault::WrongText) { "other" } else { asked_prompt };
        let finish = (!self.has_fault(Fault::Truncated)).then_some("stop");
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

struct CallerPort(Rc<FakeNode>);

impl Handler for CallerPort {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move { self.0.answer(&request) }.boxed_local()
    }
}

fn ok(value: &Value) -> Response {
    Response::json(StatusCode::OK, value)
}

/// Returns a response whose connection closes after the head.
fn truncated_response() -> Response {
    let nothing = std::future::ready(()).boxed_local();
    let content_type = HeaderValue::from_static("text/plain");
    Response::stream(StatusCode::OK, content_type, stream::channel().1, nothing)
}
