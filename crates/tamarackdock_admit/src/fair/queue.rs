use std::collections::{BTreeMap, VecDeque};

use tamarackdock_types::AccountName;

use crate::Call;

/// Virtual time of one token at weight 1.
const SCALE: u64 = 1 << 16;

/// A waiting call.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) call: Call,
    /// Virtual start, which orders the calls of all accounts.
    pub(super) start: u64,
}

#[derive(Debug, Clone, Default)]
struct Flow {
    finish: u64,
    calls: VecDeque<Waiting>,
}

/// Start-time fair queue of one level.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    virtual_time: u64,
    flows: BTreeMap<AccountName, Flow>,
}

impl Queue {
    /// Returns the virtual start that a call of an account would have.
    pub(super) fn next_start(&self, account: &AccountName) -> u64 {
        let finish = self.flows.get(account).map_or(0, |flow| flow.finish);
        finish.max(self.virtual_time)
    }

    pub(super) fn push(&mut self, call: Call, weight: u32) {
        let start = self.next_start(&call.account);
        let flow = self.flows.entry(call.account.clone()).or_default();
        flow.finish =
            start.saturating_add(call.tokens.saturating_mul(SCALE) / u64::from(weight.max(1)));
        flow.calls.push_back(Waiting { call, start });
    }

    pub(super) fn head(&self) -> Option<&Call> {
        let heads = self.flows.values().filter_map(|flow| flow.calls.front());
        heads.min_by_key(|waiting| waiting.start).map(|waiting| &waiting.call)
    }

    pub(super) fn pop(&mut self) -> Option<Call> {
        let account = self.head()?.account.clone();
        let waiting = self.flows.get_mut(&account)?.calls.pop_front()?;
        self.virtual_time = waiting.start;
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.calls.is_empty() || flow.finish > virtual_time);
        Some(waiting.call)
    }

    /// Removes a call that won't start.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        for flow in self.flows.values_mut() {
            let place = flow.calls.iter().position(|waiting| waiting.call.id == id);
            if place.and_then(|place| flow.calls.remove(place)).is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the tokens of the calls that start no later than a virtual start.
    pub(super) fn tokens_before(&self, start: u64) -> u64 {
        let ahead = self.iter().filter(|waiting| waiting.start <= start);
        ahead.map(|waiting| waiting.call.tokens).sum()
    }

    pub(super) fn length(&self, account: &AccountName) -> usize {
        self.flows.get(account).map_or(0, |flow| flow.calls.len())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.flows.values().all(|flow| flow.calls.is_empty())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.flows.values().flat_map(|flow| &flow.calls)
    }
}
