use std::collections::{BTreeMap, VecDeque};

use tamarackdock_types::AccountName;

use crate::Call;

/// Virtual time of one token at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;

/// A waiting call.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) call: Call,
    /// Virtual start time, which orders the calls of all accounts.
    pub(super) virtual_start: u64,
}

/// Waiting calls of one account.
#[derive(Debug, Clone, Default)]
struct Flow {
    /// Virtual finish time of the last call.
    virtual_finish: u64,
    calls: VecDeque<Waiting>,
}

/// Start-time fair queue of one level.
#[derive(Debug, Clone, Default)]
pub(super) struct Queue {
    virtual_time: u64,
    flows: BTreeMap<AccountName, Flow>,
}

impl Queue {
    /// Returns the virtual start time that a new call of an account would have.
    pub(super) fn next_start(&self, account: &AccountName) -> u64 {
        let virtual_finish = self.flows.get(account).map_or(0, |flow| flow.virtual_finish);
        virtual_finish.max(self.virtual_time)
    }

    pub(super) fn push(&mut self, call: Call, weight: u32) {
        let virtual_start = self.next_start(&call.account);
        let flow = self.flows.entry(call.account.clone()).or_default();
        flow.virtual_finish = virtual_start.saturating_add(
            call.tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(weight.max(1)),
        );
        flow.calls.push_back(Waiting { call, virtual_start });
    }

    pub(super) fn head(&self) -> Option<&Call> {
        let heads = self.flows.values().filter_map(|flow| flow.calls.front());
        heads.min_by_key(|waiting| waiting.virtual_start).map(|waiting| &waiting.call)
    }

    pub(super) fn pop(&mut self) -> Option<Call> {
        let account = self.head()?.account.clone();
        let waiting = self.flows.get_mut(&account)?.calls.pop_front()?;
        self.virtual_time = waiting.virtual_start;
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.calls.is_empty() || flow.virtual_finish > virtual_time);
        Some(waiting.call)
    }

    /// Removes a waiting call and returns whether it was found.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        for flow in self.flows.values_mut() {
            let index = flow.calls.iter().position(|waiting| waiting.call.id == id);
            if index.and_then(|index| flow.calls.remove(index)).is_some() {
                return true;
            }
        }
        false
    }

    /// Returns the tokens of the calls whose virtual start is not after `virtual_start`.
    pub(super) fn tokens_before(&self, virtual_start: u64) -> u64 {
        let ahead = self.iter().filter(|waiting| waiting.virtual_start <= virtual_start);
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
