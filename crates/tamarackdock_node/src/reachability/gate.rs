use std::{cell::RefCell, rc::Rc, time::Duration};

use serde_json::{Value, json};
use tamarackdock_config::reachability::{KeyStatus, Reachability};
use tamarackdock_types::{
    DataCentreName,
    clock::{BootClock, Clock},
    refusal::{Code, Refusal},
};
use tamarackdock_wire::flag::Flag;

const RETRY_HINT: Duration = Duration::from_secs(1);

/// Decides whether calls with a key are served. Shared by the tasks of a thread.
#[derive(Clone)]
pub(crate) struct Gate(Rc<Inner>);

struct Inner {
    state: RefCell<Reachability>,
    /// Set while the node is cut off. Replaced by a new flag when the node no longer is.
    cut_off: RefCell<Flag>,
}

impl Gate {
    /// Makes the gate of a node that has no proof yet that its keys are valid.
    pub(crate) fn new(data_centre: DataCentreName) -> Self {
        let state = RefCell::new(Reachability::new(data_centre));
        Self(Rc::new(Inner { state, cut_off: RefCell::default() }))
    }

    /// Admits a call with a key and returns the flag that cancels it. The clock is read for
    /// each call, so that a node whose process was paused refuses calls even before its first
    /// tick.
    pub(crate) fn admit(&self) -> Result<Flag, Refusal> {
        if self.refresh().serves_keys() {
            return Ok(self.0.cut_off.borrow().clone());
        }
        let message = "the node can't tell whether keys are still valid; ask another node";
        Err(Refusal::not_run(Code::CutOff, message).retry_after(RETRY_HINT))
    }

    /// Returns the current key status. If the node is cut off, the keyed calls in progress are
    /// cancelled.
    pub(crate) fn refresh(&self) -> KeyStatus {
        let key_status = self.with(|state| state.key_status(BootClock.now()));
        let mut cut_off = self.0.cut_off.borrow_mut();
        match (key_status.serves_keys(), cut_off.is_set()) {
            (true, true) => *cut_off = Flag::new(),
            (false, false) => cut_off.set(),
            _ => {}
        }
        key_status
    }

    /// Calls a function with the state.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Reachability) -> T) -> T {
        act(&mut self.0.state.borrow_mut())
    }

    /// Returns the state as JSON for `/debug/state`.
    pub(crate) fn dump(&self) -> Value {
        let now = BootClock.now();
        let answer = self.with(|state| state.answer_query(now, now));
        let key_status = format!("{:?}", self.refresh());
        let age = answer.confirmed.map(|age| age.as_millis());
        json!({ "verdict": key_status, "confirmed_ms": age, "unsettled": answer.unsettled })
    }
}
