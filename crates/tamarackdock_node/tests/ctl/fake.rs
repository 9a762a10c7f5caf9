use std::{
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, mpsc},
};

use futures_util::{FutureExt, future::LocalBoxFuture};
use http::{HeaderValue, StatusCode};
use serde_json::{Value, json};
use tamarackdock_config::{Deployment, reader};
use tamarackdock_node::runtime;
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::{
    server::{Handler, Options, Request, Response, listen},
    stream,
};

/// The way in which a fake node handles changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The change takes effect and its answer is truncated.
    LoseAnswer,
    /// The change takes effect and the answer says that its outcome is unknown.
    Internal,
    /// The change takes effect and the answer has another form than documented.
    Garbled,
    /// The node refuses changes.
    Stopping,
    /// The change takes effect and one node does not have the version yet.
    Pending,
}

/// The accepted versions, shared by the fake nodes of one test.
#[derive(Default)]
pub(crate) struct FakeStore {
    pub(crate) version: u64,
    deployment: Deployment,
    operations: HashMap<String, u64>,
}

impl FakeStore {
    pub(crate) fn shared() -> Arc<Mutex<Self>> {
        Arc::default()
    }

    /// Accepts a change, unless its operation id is that of an accepted one, and
    /// returns the version.
    fn accept(&mut self, request: &Request) -> Result<u64, Refusal> {
        let operation = request.parameter("operation").expect("an operation id").to_owned();
        if let Some(version) = self.operations.get(&operation) {
            return Ok(*version);
        }
        if request.path() == "/config" {
            if request.parameter("base") != Some(&self.version.to_string()) {
                return Err(Refusal::not_run(Code::Conflict, "`base` is not the newest version"));
            }
            let read = reader::deployment("body", &request.body);
            self.deployment =
                read.map_err(|report| Refusal::not_run(Code::BadRequest, report.to_string()))?;
        }
        self.version += 1;
        self.operations.insert(operation, self.version);
        Ok(self.version)
    }
}

/// A fake of a node's operator port on its own thread, which runs until the test
/// process ends.
pub(crate) struct FakeNode {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

struct State {
    fault: Fault,
    requests: usize,
}

struct OperatorPort {
    store: Arc<Mutex<FakeStore>>,
    state: Arc<Mutex<State>>,
}

impl FakeNode {
    pub(crate) fn spawn(store: &Arc<Mutex<FakeStore>>) -> Self {
        let state = Arc::new(Mutex::new(State { fault: Fault::None, requests: 0 }));
        let (store, shared) = (store.clone(), state.clone());
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            runtime::build().unwrap().block_on(async move {
                let operator_port = Rc::new(OperatorPort { store, state: shared });
                let any = SocketAddr::from(([127, 0, 0, 1], 0));
                let listener = listen(any, operator_port, Options::default()).unwrap();
                sender.send(listener.address()).unwrap();
                std::future::pending::<()>().await;
            });
        });
        Self { address: receiver.recv().unwrap(), state }
    }

    pub(crate) fn node(&self) -> String {
        self.address.to_string()
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.state.lock().unwrap().fault = fault;
    }

    pub(crate) fn requests(&self) -> usize {
        self.state.lock().unwrap().requests
    }
}

impl OperatorPort {
    fn answer(&self, request: &Request) -> Result<Response, Refusal> {
        self.state.lock().unwrap().requests += 1;
        let parts: Vec<_> = request.path().split('/').skip(1).collect();
        match (request.method.as_str(), parts.as_slice()) {
            ("GET", ["metrics"]) => {
                let text =
                    "# TYPE tamarackdock_attempts_total counter\ntamarackdock_attempts_total 3\n";
                Ok(Response::new(StatusCode::OK, "text/plain; version=0.0.4", text))
            }
            ("GET", ["explain"]) => explanation(request),
            ("GET", ["debug", "state"]) => Ok(ok(&json!({"host": "n0", "leaving": false}))),
            ("GET", ["config"]) => {
                let store = self.store.lock().unwrap();
                Ok(ok(
                    &json!({"version": store.version, "checksum": "c", "deployment": store.deployment}),
                ))
            }
            ("POST", ["config"] | ["data-centres", _, "in" | "out"])
            | ("POST" | "DELETE", ["accounts", _, "keys", _]) => self.change(request),
            _ => Err(Refusal::not_run(Code::NotFound, "no such route")),
        }
    }

    fn change(&self, request: &Request) -> Result<Response, Refusal> {
        let fault = self.state.lock().unwrap().fault;
        if fault == Fault::Stopping {
            return Err(Refusal::not_run(Code::Stopping, "the node is stopping"));
        }
        let version = self.store.lock().unwrap().accept(request)?;
        let (active_on, missing) = match fault {
            Fault::LoseAnswer => return Ok(truncated_response()),
            Fault::Garbled => return Ok(ok(&json!({}))),
            Fault::Internal => return Err(Refusal::unknown(Code::Internal, "failed")),
            Fault::Pending => (vec!["n0"], vec!["n1"]),
            _ => (vec!["n0", "n1"], vec![]),
        };
        Ok(ok(&json!({
            "version": version, "checksum": "c", "active_on": active_on, "missing": missing
        })))
    }
}

impl Handler for OperatorPort {
    fn handle(&self, request: Request) -> LocalBoxFuture<'_, Response> {
        async move { self.answer(&request).unwrap_or_else(Response::from) }.boxed_local()
    }
}

fn ok(value: &Value) -> Response {
    Response::json(StatusCode::OK, value)
}

/// Returns a response whose body ends early.
fn truncated_response() -> Response {
    let nothing = std::future::ready(()).boxed_local();
    Response::stream(
        StatusCode::OK,
        HeaderValue::from_static("text/plain"),
        stream::channel().1,
        nothing,
    )
}

/// Returns a fixed explanation of the call and of the job that exist.
fn explanation(request: &Request) -> Result<Response, Refusal> {
    let parameter = |name| request.parameter(name).unwrap_or_default();
    let target = json!({
        "id": "app-1", "data_centre": "d1", "local": true, "running": 6, "slots": 6,
        "avoided": {"reason": "full", "age_ms": 50, "for_ms": 100}, "cold_ms": 900,
        "recent_starts": 2, "limit": {"age_ms": 20, "withheld_ms": 300, "spared": true},
        "outlook": {"evidence": "refused", "age_ms": 50, "room_in_ms": 40, "usual_ms": 25},
    });
    let left_out = json!([{"id": "app-2", "data_centre": "d1", "reason": "draining"}]);
    match (parameter("host"), parameter("path"), parameter("job")) {
        ("a.example", "/app/", "") => Ok(ok(&json!({
            "gateway": "n0", "configuration": 3, "proof_age_ms": 700, "accepts_calls": false,
            "paths_lost": true,
            "route": {"name": "app", "prefix": "/app/", "kind": "idempotent", "timeout_ms": 800,
                      "objective_ms": 150, "attempts": 3},
            "services": [{
                "name": "app", "weight": 1, "targets": [target], "left_out_count": 3,
                "left_out": left_out,
                "decision": {"action": "refuse", "reason": "refused", "retry_after_ms": 50},
            }],
        }))),
        ("", "", "j1") => Ok(ok(&json!({
            "gateway": "n0", "job": "j1", "step": 4, "model": "m0", "ended": false, "epoch": 2,
            "owner": {"host": "n0", "run": "0f", "is_live": true, "peer_address": null},
            "item_count": 9,
            "items": {
                "service": "llm", "waiting": 3, "running": 4, "generated": 0, "unscored": 0,
                "scoring": 1, "finished": 1, "left_out": left_out,
                "listed": [
                    {"item": "i1", "waits_for": "room", "target_count": 1,
                     "targets": [{"id": "e1", "running": 8, "slots": 8, "may_start": 1,
                                  "avoided": true}]},
                    {"item": "i2", "waits_for": "paused for 90 ms more after its last run"},
                ],
            },
        }))),
        ("", "", "j2") => Ok(ok(&json!({
            "gateway": "n0", "job": "j2", "step": 4, "model": null, "ended": false, "epoch": 2,
            "owner": {"host": "n1", "run": "0a", "is_live": false, "peer_address": "127.0.0.1:7"},
            "item_count": 9, "items": null,
        }))),
        _ => Err(Refusal::not_run(Code::NotFound, "no such route or job")),
    }
}
