//! Access to the store, relayed by another node while this one can't reach it.
//! The store may refuse single hosts, or the network path from them may be cut,
//! while it serves the others. See `docs/platform-system.md`, section "Paths to the
//! store".

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
    table::{Batch, Commit, FeedResponse, Row, Table, Watch},
};
use tamarackdock_types::clock::{BootClock, Clock};

use crate::{
    batch::rows,
    clock::StoreClock,
    crash,
    members::{self, Members},
    notify::Notify,
    peer::{self, PeerError, PeerRequest, PeerResponse},
    periodic,
};

/// Time that another node may need to call the store.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);
/// Most peers that are asked to relay one call.
const MAX_PEERS: usize = 2;
/// Number of lost responses in a row after which the direct path counts as down. A
/// single one may be the fault of one connection.
const MAX_LOST_ANSWERS: u32 = 3;
/// Number of refusals in a row after which a peer is asked to relay. While the store
/// is busy it refuses calls of all nodes, and relayed calls would add to its load.
const MAX_REFUSALS: u32 = 3;
/// Key of the row that a probe reads. The row need not exist.
const PROBE_KEY: &str = "probe/direct";

/// A call to the store, as it is sent to a peer.
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

/// A response of the store, as a peer relays it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum StoreAnswer {
    Rows(BTreeMap<String, Row>),
    Revision(u64),
    /// Result of [`StoreCall::Changes`]. Peers of earlier releases know it by this name.
    News(FeedResponse),
    Batch(Batch),
    Range(Vec<Row>),
}

/// A client of the store that calls it directly, or through a peer while the direct
/// path is down.
pub(crate) struct Relay {
    direct: Rc<dyn Watch>,
    clock: Rc<StoreClock>,
    members: Rc<Members>,
    log: Logger,
    /// Names of the tables that nodes watch. Feeds and snapshots of others are rejected.
    tables: [&'static str; 5],
    /// Whether the direct path to the store counts as down.
    direct_down: Cell<bool>,
    /// Number of lost responses in a row.
    lost_answers: Cell<u32>,
    /// Number of refused calls in a row.
    refusals: Cell<u32>,
    /// Notified when the direct path goes down.
    went_down: Notify,
    /// Peer that relayed a call last.
    preferred_peer: RefCell<Option<SocketAddr>>,
}

impl Relay {
    pub(crate) fn new(
        direct: Rc<dyn Watch>,
        clock: Rc<StoreClock>,
        members: Rc<Members>,
        platform_tables: [&'static str; 2],
        log: Logger,
    ) -> Self {
        let tables = [
            platform_tables[0],
            platform_tables[1],
            rows::HEADS_TABLE,
            members::TABLE,
            crash::TABLE,
        ];
        Self {
            direct,
            clock,
            members,
            log,
            tables,
            direct_down: Cell::new(false),
            lost_answers: Cell::new(0),
            refusals: Cell::new(0),
            went_down: Notify::default(),
            preferred_peer: RefCell::default(),
        }
    }

    /// Probes the direct path at intervals while it is down. Never returns.
    pub(crate) async fn probe(self: Rc<Self>) {
        loop {
            sleep(self.members.interval(periodic::PROBES)).await;
            if self.direct_down.get() && self.direct.read(vec![PROBE_KEY.into()]).await.is_ok() {
                slog::info!(self.log, "store: direct path restored");
                self.direct_down.set(false);
                self.lost_answers.set(0);
            }
        }
    }

    /// Serves a call on behalf of a peer, over the direct path only.
    pub(crate) async fn serve(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        if self.direct_down.get() {
            Err(Error::Unreachable)
        } else {
            self.call_directly(&call).await
        }
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

    /// Calls the store directly. A poll of a feed is given up when another call finds
    /// the direct path down, since its connection may be dead without an error.
    async fn call_while_up(&self, call: &StoreCall) -> Result<StoreAnswer, Error> {
        let seen = self.went_down.count();
        let direct = self.call_directly(call);
        if !matches!(call, StoreCall::Changes(..)) {
            return direct.await;
        }
        let down = self.went_down.changed_since(seen);
        pin_mut!(direct, down);
        match select(direct, down).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(Error::Unreachable),
        }
    }

    /// Calls the store directly, or through a peer while the direct path is down.
    async fn call(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        if !self.direct_down.get() {
            match self.call_while_up(&call).await {
                Err(Error::Refused) => return self.call_after_refusal(call).await,
                Err(error @ (Error::Unreachable | Error::Unknown)) => {
                    self.lost_answers.set(self.lost_answers.get() + 1);
                    let is_down =
                        error == Error::Unreachable || self.lost_answers.get() >= MAX_LOST_ANSWERS;
                    if is_down {
                        self.mark_direct_down(&error);
                    }
                    // A commit that may have taken effect must not be sent again.
                    if error == Error::Unknown {
                        return Err(error);
                    }
                }
                result => {
                    self.lost_answers.set(0);
                    self.refusals.set(0);
                    return result;
                }
            }
        }
        self.call_by_peer(call).await
    }

    fn mark_direct_down(&self, error: &Error) {
        if !self.direct_down.replace(true) {
            self.went_down.notify_all();
            slog::warn!(self.log, "store: direct path down"; "error" => %error);
        }
    }

    /// Finds out, after several refusals in a row, whether the store refuses only this
    /// node: it then serves the same call through a peer.
    async fn call_after_refusal(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        self.refusals.set(self.refusals.get() + 1);
        if self.refusals.get() < MAX_REFUSALS {
            return Err(Error::Unreachable);
        }
        self.refusals.set(0);
        let result = self.call_by_peer(call).await;
        if result.is_ok() {
            self.mark_direct_down(&Error::Refused);
        }
        result
    }

    /// Asks peers to relay a call.
    async fn call_by_peer(&self, call: StoreCall) -> Result<StoreAnswer, Error> {
        let wait = match &call {
            StoreCall::Changes(_, _, wait) => Duration::from_millis(*wait),
            _ => Duration::ZERO,
        };
        let is_commit = matches!(call, StoreCall::Commit(_));
        let request = PeerRequest::Store(call);
        for address in self.candidates() {
            match peer::ask(address, &request, wait + RELAY_TIMEOUT).await {
                Ok(PeerResponse::Store(Ok(answer))) => {
                    *self.preferred_peer.borrow_mut() = Some(address);
                    self.learn_time(address).await;
                    return Ok(answer);
                }
                Ok(PeerResponse::Store(Err(Error::Unreachable | Error::Refused)))
                | Err(PeerError::Unreachable) => {}
                Ok(PeerResponse::Store(Err(error))) => return Err(error),
                Ok(_) | Err(_) if is_commit => return Err(Error::Unknown),
                Ok(_) | Err(_) => {}
            }
            *self.preferred_peer.borrow_mut() = None;
        }
        Err(Error::Unreachable)
    }

    /// Asks a peer that reaches the store for the store's time, unless it is known. Only direct
    /// responses of the store carry it, and a node that starts without a direct path gets none.
    async fn learn_time(&self, peer: SocketAddr) {
        if self.clock.millis(BootClock.now()).is_some() {
            return;
        }
        match peer::ask(peer, &PeerRequest::StoreTime, Duration::ZERO).await {
            Ok(PeerResponse::StoreTime(Some(millis))) => {
                self.clock.observe(millis, BootClock.now());
                slog::info!(self.log, "store: time learned from a peer";
                    "peer" => %peer, "store_ms" => millis);
            }
            answer => slog::info!(self.log, "store: time not learned"; "peer" => %peer,
                "error" => answer.err().map(|error| error.to_string())),
        }
    }

    /// Returns the peers to ask: the one that relayed a call last, then others from a
    /// random start.
    fn candidates(&self) -> Vec<SocketAddr> {
        let mut others = self.members.addresses();
        let preferred_peer = *self.preferred_peer.borrow();
        if !others.is_empty() {
            let start = usize::try_from(rand::random::<u32>()).unwrap_or_default() % others.len();
            others.rotate_left(start);
        }
        others.retain(|address| Some(*address) != preferred_peer);
        preferred_peer.into_iter().chain(others).take(MAX_PEERS).collect()
    }
}

/// Unwraps a response of the expected kind. Another kind is an error of the peer.
macro_rules! expect_answer {
    ($answer:expr, $kind:ident) => {
        match $answer.await? {
            StoreAnswer::$kind(value) => Ok(value),
            _ => Err(Error::Malformed),
        }
    };
}

impl Table for Relay {
    fn read(&self, keys: Vec<String>) -> Call<'_, BTreeMap<String, Row>> {
        async move { expect_answer!(self.call(StoreCall::Read(keys)), Rows) }.boxed_local()
    }

    fn scan(&self, prefix: String) -> Call<'_, Vec<Row>> {
        let from = prefix.clone();
        self.range(prefix, from)
    }

    fn commit(&self, commit: Commit) -> Call<'_, u64> {
        async move { expect_answer!(self.call(StoreCall::Commit(commit)), Revision) }.boxed_local()
    }
}

impl Watch for Relay {
    fn changes(&self, table: &'static str, after: u64, wait: Duration) -> Call<'_, FeedResponse> {
        let wait = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let call = StoreCall::Changes(table.into(), after, wait);
        async move { expect_answer!(self.call(call), News) }.boxed_local()
    }

    fn snapshot(&self, table: &'static str, part: String) -> Call<'_, Batch> {
        let call = StoreCall::Snapshot(table.into(), part);
        async move { expect_answer!(self.call(call), Batch) }.boxed_local()
    }

    fn range(&self, prefix: String, from: String) -> Call<'_, Vec<Row>> {
        async move { expect_answer!(self.call(StoreCall::Range(prefix, from)), Range) }
            .boxed_local()
    }
}
