//! The store by way of another node, while this one can't reach it. The store
//! may turn away single hosts, or their path to it may be cut, while it serves
//! the others. See `docs/platform-system.md`, section "Ways to the store".

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use futures_util::{
    FutureExt,
    future::{Either, select},
    pin_mut,
};
use monoio::time::sleep;
use serde::{Deserialize, Serialize};
use slog::Logger;
use tamarackdock_platform::{
    Call, Error,
    table::{Batch, Commit, News, Row, Table, Watch},
};

use crate::{
    batch::rows,
    crash,
    members::{self, Members},
    pace,
    peer::{self, PeerError, Question, Response},
    signal::Signal,
};

/// Time that another node may need to ask the store.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Nodes that are asked for one call.
const TRIES: usize = 2;
/// Lost answers in a row after which the direct way counts as lost. A single one
/// can be that of one connection.
const MAX_LOST: u32 = 3;
/// Refusals in a row after which another node is asked. The store refuses calls of
/// all nodes while it is busy, when calls by way of others would add to its load.
const MAX_REFUSED: u32 = 3;
/// Row that a probe reads. It need not exist.
const PROBE_KEY: &str = "probe/direct";

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StoreCall {
    /// See [`Table::read`].
    Read(Vec<String>),
    /// See [`Table::commit`].
    Commit(Commit),
    /// See [`Watch::changes`]; the wait is in milliseconds.
    Changes(String, u64, u64),
    /// See [`Watch::snapshot`].
    Snapshot(String, String),
    /// See [`Watch::range`].
    Range(String, String),
}

/// What the store answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StoreAnswer {
    Rows(BTreeMap<String, Row>),
    Revision(u64),
    News(News),
    Batch(Batch),
    Range(Vec<Row>),
}

/// The way to the store: directly, or by way of another node.
pub(crate) struct Relay {
    direct: Rc<dyn Watch>,
    members: Rc<Members>,
    log: Logger,
    /// Names of the tables that nodes follow.
    tables: [&'static str; 5],
    down: Cell<bool>,
    /// Answers lost in a row.
    lost: Cell<u32>,
    /// Calls refused in a row.
    refused: Cell<u32>,
    /// Raised when the direct way is lost.
    changed: Signal,
    /// Node that answered last.
    favourite: RefCell<Option<SocketAddr>>,
}

impl Relay {
    pub(crate) fn new(
        direct: Rc<dyn Watch>,
        members: Rc<Members>,
        foreign: [&'static str; 2],
        log: Logger,
    ) -> Self {
        let tables = [foreign[0], foreign[1], rows::HEADS, members::TABLE, crash::TABLE];
        Self {
            direct,
            members,
            log,
            tables,
            down: Cell::new(false),
            lost: Cell::new(0),
            refused: Cell::new(0),
            changed: Signal::default(),
            favourite: RefCell::default(),
        }
    }

    /// Probes the direct way for ever while it does not work.
    pub(crate) async fn probe(self: Rc<Self>) {
        loop {
            sleep(self.members.interval(pace::PROBES)).await;
            if self.down.get() && self.direct.read(vec![PROBE_KEY.into()]).await.is_ok() {
                slog::info!(self.log, "store: direct way regained");
                self.down.set(false);
                self.lost.set(0);
            }
        }
    }

    /// Answers another node's call, by the direct way only.
    pub(crate) async fn serve(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        if self.down.get() { Err(Error::Unreachable) } else { self.call_directly(&call).await }
    }

    async fn call_directly(&self, call: &StoreCall) -> Result<StoreAnswer, Error> {
        let table = |name: &String| {
            self.tables.iter().find(|known| *known == name).copied().ok_or(Error::Malformed)
        };
        let direct = &self.direct;
        match call.clone() {
            StoreCall::Read(keys) => direct.read(keys).await.map(StoreAnswer::Rows),
            StoreCall::Commit(commit) => direct.commit(commit).await.map(StoreAnswer::Revision),
            StoreCall::Changes(name, after, wait) => {
                let wait = Duration::from_millis(wait);
                direct.changes(table(&name)?, after, wait).await.map(StoreAnswer::News)
            }
            StoreCall::Snapshot(name, part) => {
                direct.snapshot(table(&name)?, part).await.map(StoreAnswer::Batch)
            }
            StoreCall::Range(prefix, from) => {
                direct.range(prefix, from).await.map(StoreAnswer::Range)
            }
        }
    }

    /// Calls directly. A feed that waits is given up when another call finds the
    /// direct way lost, since its connection may be silent.
    async fn call_while_up(&self, call: &StoreCall) -> Result<StoreAnswer, Error> {
        let seen = self.changed.count();
        let direct = self.call_directly(call);
        if !matches!(call, StoreCall::Changes(..)) {
            return direct.await;
        }
        let lost = self.changed.after(seen);
        pin_mut!(direct, lost);
        match select(direct, lost).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(Error::Unreachable),
        }
    }

    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        if !self.down.get() {
            match self.call_while_up(&call).await {
                Err(Error::Refused) => return self.call_after_refusal(call).await,
                Err(error @ (Error::Unreachable | Error::Unknown)) => {
                    self.lost.set(self.lost.get() + 1);
                    let is_down = error == Error::Unreachable || self.lost.get() >= MAX_LOST;
                    if is_down {
                        self.lose(&error);
                    }
                    // A commit that may have taken effect is not sent again.
                    if error == Error::Unknown {
                        return Err(error);
                    }
                }
                result => {
                    self.lost.set(0);
                    self.refused.set(0);
                    return result;
                }
            }
        }
        self.call_by_peer(call).await
    }

    fn lose(&self, error: &Error) {
        if !self.down.replace(true) {
            self.changed.raise();
            slog::warn!(self.log, "store: direct way lost"; "error" => %error);
        }
    }

    /// Finds out, after several refusals, whether the store turns away this node
    /// only: it then serves the same call by way of another one.
    async fn call_after_refusal(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        self.refused.set(self.refused.get() + 1);
        if self.refused.get() < MAX_REFUSED {
            return Err(Error::Unreachable);
        }
        self.refused.set(0);
        let result = self.call_by_peer(call).await;
        if result.is_ok() {
            self.lose(&Error::Refused);
        }
        result
    }

    async fn call_by_peer(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        let wait = match &call {
            StoreCall::Changes(_, _, wait) => Duration::from_millis(*wait),
            _ => Duration::ZERO,
        };
        let is_commit = matches!(call, StoreCall::Commit(_));
        let question = Question::Store(call);
        for address in self.candidates() {
            match peer::ask(address, &question, wait + RELAY_TIMEOUT).await {
                Ok(Response::Store(Ok(answer))) => {
                    *self.favourite.borrow_mut() = Some(address);
                    return Ok(answer);
                }
                Ok(Response::Store(Err(Error::Unreachable | Error::Refused)))
                | Err(PeerError::Unreachable) => {}
                Ok(Response::Store(Err(error))) => return Err(error),
                Ok(_) | Err(_) if is_commit => return Err(Error::Unknown),
                Ok(_) | Err(_) => {}
            }
            *self.favourite.borrow_mut() = None;
        }
        Err(Error::Unreachable)
    }

    /// Returns nodes to ask: the one that answered last, then others in an
    /// order that changes.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut others = self.members.addresses();
        let favourite = *self.favourite.borrow();
        if !others.is_empty() {
            let turn = usize::try_from(rand::random::<u32>()).unwrap_or_default() % others.len();
            others.rotate_left(turn);
        }
        others.retain(|address| Some(*address) != favourite);
        favourite.into_iter().chain(others).take(TRIES).collect()
    }
}

/// Unwraps the answer of a kind. Another kind is a fault of the peer.
macro_rules! expect {
    ($answer:expr, $kind:ident) => {
        match $answer.await? {
            StoreAnswer::$kind(value) => Ok(value),
            _ => Err(Error::Malformed),
        }
    };
}

impl Table for Relay {
    fn read(&self, keys: Vec<String>) -> Call<'_, BTreeMap<String, Row>> {
        async move { expect!(self.call(StoreCall::Read(keys)), Rows) }.boxed_local()
    }

    fn scan(&self, prefix: String) -> Call<'_, Vec<Row>> {
        let from = prefix.clone();
        self.range(prefix, from)
    }

    fn commit(&self, commit: Commit) -> Call<'_, u64> {
        async move { expect!(self.call(StoreCall::Commit(commit)), Revision) }.boxed_local()
    }
}

impl Watch for Relay {
    fn changes(&self, table: &'static str, after: u64, wait: Duration) -> Call<'_, News> {
        let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = StoreCall::Changes(table.into(), after, wait);
        async move { expect!(self.call(call), News) }.boxed_local()
    }

    fn snapshot(&self, table: &'static str, part: String) -> Call<'_, Batch> {
        let call = StoreCall::Snapshot(table.into(), part);
        async move { expect!(self.call(call), Batch) }.boxed_local()
    }

    fn range(&self, prefix: String, from: String) -> Call<'_, Vec<Row>> {
        async move { expect!(self.call(StoreCall::Range(prefix, from)), Range) }.boxed_local()
    }
}
