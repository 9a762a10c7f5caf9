//! Access to a store that refuses calls.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use futures_util::FutureExt as _;
use slog::{Discard, Logger, o};
use tamarackdock_platform::{
    Call, Error,
    table::{Batch, Commit, FeedResponse, Row, Table, Watch},
};

use crate::{
    clock::StoreClock,
    members::{Members, NodeRun},
    periodic::Rates,
    relay::Relay,
};

/// A store that refuses the first `refusals` calls and serves all later ones.
#[derive(Debug)]
struct BusyStore {
    refusals: Cell<usize>,
    calls: Cell<usize>,
}

impl BusyStore {
    fn answer<T: Default + 'static>(&self) -> Call<'_, T> {
        self.calls.set(self.calls.get() + 1);
        let refused = self.refusals.get() > 0;
        self.refusals.set(self.refusals.get().saturating_sub(1));
        async move { if refused { Err(Error::Refused) } else { Ok(T::default()) } }.boxed_local()
    }
}

impl Table for BusyStore {
    fn read(&self, _: Vec<String>) -> Call<'_, BTreeMap<String, Row>> {
        self.answer()
    }

    fn scan(&self, _: String) -> Call<'_, Vec<Row>> {
        self.answer()
    }

    fn commit(&self, _: Commit) -> Call<'_, u64> {
        self.answer()
    }
}

impl Watch for BusyStore {
    fn changes(&self, _: &'static str, _: u64, _: Duration) -> Call<'_, FeedResponse> {
        async { Err(Error::Malformed) }.boxed_local()
    }

    fn snapshot(&self, _: &'static str, _: String) -> Call<'_, Batch> {
        async { Err(Error::Malformed) }.boxed_local()
    }

    fn range(&self, _: String, _: String) -> Call<'_, Vec<Row>> {
        self.answer()
    }
}

/// Guards against a node that marks its direct path as down because the store is too
/// busy to serve any node, and then loads it further through peers.
#[test]
fn a_busy_store_does_not_mark_the_direct_path_down() {
    let store = Rc::new(BusyStore { refusals: Cell::new(10), calls: Cell::new(0) });
    let own = NodeRun { host: "a".into(), number: 1 };
    let members = Rc::new(Members::new(own, Vec::new(), Rates::default()));
    let log = Logger::root(Discard, o!());
    let relay = Relay::new(store.clone(), Rc::new(StoreClock::default()), members, ["x", "y"], log);
    let results: Vec<_> =
        (0..12).filter_map(|_| relay.read(vec!["k".into()]).now_or_never()).collect();
    let served = results.iter().filter(|result| result.is_ok()).count();
    let refused = results.iter().filter(|result| **result == Err(Error::Unreachable)).count();
    assert_eq!((served, refused, store.calls.get()), (2, 10, 12));
}
