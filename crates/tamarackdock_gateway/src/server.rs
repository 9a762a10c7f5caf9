//! Connections from callers, the balancer, peers and operators.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::{
    future::{Either, pending, select},
    pin_mut,
};
use monoio::{
    net::{ListenerOpts, TcpListener},
    time::timeout,
};
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use crate::{
    callers::{Account, Phase},
    counter::InProgress,
    forward,
    http::{Connection, Reader, RequestHead, Reservation, Writer, response_head},
    node::{Node, StartError},
    reading::{self, Reading},
    reply::Reply,
    settings::Settings,
};

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which the address for peers is waited for. The sockets of a killed process are closed
/// shortly after its successor may be started.
const BIND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two attempts to bind it.
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Pause after a connection that was not accepted, in which others can end.
const REFUSAL_PAUSE: Duration = Duration::from_millis(1);
/// Time in which a client that still sends a request reads the response to it. A close while bytes
/// arrive would reset the connection, and the response could be lost.
const LINGER_TIME: Duration = Duration::from_millis(100);
/// Most bytes that are received for that. Reads of a connection that always has bytes do not let
/// other tasks run.
const LINGER_BYTES: usize = 64 * 1024;
/// Bytes of pipelined requests that are buffered while a request is in progress.
const MAX_PIPELINED: usize = 64 * 1024;
/// Bytes that the encoding of a forwarded request adds to a client's body: mostly its header
/// fields.
pub(crate) const FORWARDING_BYTES: usize = 256 * 1024;

/// The kind of client that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Callers,
    /// The balancer, which sends health checks.
    Health,
    /// Other nodes.
    Peers,
    /// Operators, who read metrics and the state dump.
    Metrics,
}

impl ListenerKind {
    /// Returns whether a request for a path is a call of a client, also one that another node has
    /// received.
    fn carries_calls(self, path: &str) -> bool {
        match self {
            Self::Callers => true,
            Self::Peers => path == forward::PATH,
            Self::Health | Self::Metrics => false,
        }
    }
}

/// A request that was received completely.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    /// Body without its framing.
    pub(crate) body: Bytes,
    /// When the head was received completely.
    pub(crate) arrived: Instant,
    /// Memory that the body uses while the request is in progress. The connections of callers have
    /// an account instead. `None` if the node made the request itself.
    pub(crate) _reservation: Option<Reservation>,
}

/// The result of a request's handler.
pub(crate) enum Outcome {
    /// A response that is still to be sent.
    Reply(Reply),
    /// The handler has sent the response itself.
    Streamed {
        /// Whether the response was sent to its end, so that the connection can carry
        /// another request.
        complete: bool,
    },
}

/// Binds a listener and spawns a task that accepts connections on it.
pub(crate) fn listen(
    node: Rc<Node>,
    address: SocketAddr,
    kind: ListenerKind,
) -> Result<(), StartError> {
    let bound = TcpListener::bind(address);
    let listener = bound.map_err(|error| StartError::Listen { address, error })?;
    accept(node, listener, kind);
    Ok(())
}

/// Binds the listener for peers. With `scheduling.adaptive` no other process can bind its address
/// as long as this one exists, also while it is paused: the lease of the duties depends on it.
pub(crate) async fn bind_peers(settings: &Settings) -> Result<TcpListener, StartError> {
    let address = settings.listen.peers;
    let options = ListenerOpts::new().reuse_port(!settings.scheduling.adaptive);
    let until = BootClock.now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind_with_config(address, &options) {
            Ok(listener) => return Ok(listener),
            Err(error)
                if settings.scheduling.adaptive
                    && error.kind() == io::ErrorKind::AddrInUse
                    && BootClock.now() < until =>
            {
                monoio::time::sleep(BIND_PAUSE).await;
            }
            Err(error) => return Err(StartError::Listen { address, error }),
        }
    }
}

/// Spawns a task that accepts connections on a listener.
pub(crate) fn accept(node: Rc<Node>, listener: TcpListener, kind: ListenerKind) {
    monoio::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let account = match kind {
                        ListenerKind::Callers => {
                            let Some(account) = node.callers.open() else {
                                drop(stream);
                                monoio::time::sleep(REFUSAL_PAUSE).await;
                                continue;
                            };
                            Some(Rc::new(account))
                        }
                        ListenerKind::Health | ListenerKind::Peers | ListenerKind::Metrics => None,
                    };
                    let task_node = node.clone();
                    monoio::spawn(async move {
                        let _open = task_node.connections.begin();
                        serve(&task_node, Connection::new(stream), kind, account).await;
                    });
                    if kind == ListenerKind::Callers {
                        node.callers.closed().await;
                    }
                }
                Err(error) => {
                    slog::warn!(node.log, "server: accept failed"; "error" => %error);
                    monoio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    });
}

/// Serves the requests of a connection until it closes.
async fn serve(
    node: &Rc<Node>,
    mut connection: Connection,
    kind: ListenerKind,
    account: Option<Rc<Account>>,
) {
    if let Some(account) = &account {
        connection.charge(account.clone());
    }
    let account = account.as_deref();
    let mut accepted = Some(BootClock.now());
    loop {
        let mut limits = node.view.deployment().limits;
        if kind == ListenerKind::Peers {
            limits.body_bytes = limits.body_bytes.saturating_add(FORWARDING_BYTES);
        }
        let Connection { reader, writer } = &mut connection;
        // A planned stop waits from the first byte of a call until the response is written.
        let mut call = None;
        let reading = Reading { node, kind, limits, accepted: accepted.take(), account };
        let request = match read(&reading, reader, writer, &mut call).await {
            Ok(request) => request,
            Err(None) => return,
            Err(Some(reply)) => {
                slog::info!(node.log, "server: request rejected"; "status" => reply.status);
                reader.clear();
                if let Some(account) = account {
                    account.idle(0);
                }
                // The client may be gone, and then nobody needs the error.
                let is_closing = account.is_some_and(Account::is_closing);
                if send_reply(writer, reply, true).await.is_ok() && !is_closing {
                    linger(reader, writer).await;
                }
                return;
            }
        };
        let keep_alive = request.head.keep_alive;
        let call = call.filter(|_| kind.carries_calls(request.head.path()));
        let subject = Subject::of(node, kind, &request);
        if account.is_some() {
            node.callers.released().await;
        }
        let outcome = {
            let ended = answer_due(node, writer, call.is_some());
            // Connections without a request have no memory for its handler.
            let handling = Box::pin(node.handle(kind, request, writer));
            let closed = wait_for_close(reader, account);
            pin_mut!(closed, ended);
            match select(handling, select(closed, ended)).await {
                Either::Left((outcome, _)) => outcome,
                Either::Right((Either::Left(_), _)) => return,
                Either::Right((Either::Right(_), _)) => Outcome::Reply(subject.end(node)),
            }
        };
        let close = !keep_alive || node.is_leaving();
        let open = match outcome {
            Outcome::Reply(reply) => {
                let close = close || reply.close;
                send_reply(writer, reply, close).await.is_ok() && !close
            }
            Outcome::Streamed { complete } => complete && !close,
        };
        drop(call);
        if !open {
            return;
        }
        if let Some(account) = account {
            account.idle(reader.held());
        }
    }
}

/// Reads a request like [`Reading::read`], unless the connection is closed by its limits.
async fn read(
    reading: &Reading<'_>,
    reader: &mut Reader,
    writer: &mut Writer,
    call: &mut Option<InProgress>,
) -> Result<Request, Option<Reply>> {
    let Some(account) = reading.account else { return reading.read(reader, writer, call).await };
    let phase = {
        let closed = account.closed();
        let received = reading.read(reader, writer, call);
        pin_mut!(closed, received);
        match select(closed, received).await {
            Either::Left((phase, _)) => phase,
            Either::Right((received, _)) => return received,
        }
    };
    reader.clear();
    account.release();
    Err(matches!(phase, Phase::Head | Phase::Body).then(reading::full))
}

/// What is known of a request while it is handled.
struct Subject {
    kind: ListenerKind,
    id: String,
    arrived: Instant,
}

impl Subject {
    fn of(node: &Node, kind: ListenerKind, request: &Request) -> Self {
        let id = request.head.headers.get(node.wire_format.fields().request_id);
        let id = id.unwrap_or(&request.head.target).to_owned();
        Self { kind, id, arrived: request.arrived }
    }

    /// Returns the answer to a request that is in progress at the end of a planned stop.
    fn end(&self, node: &Node) -> Reply {
        slog::info!(node.log, "stop: request ended"; "id" => &self.id, "listener" => ?self.kind,
            "ms" => BootClock.now().since(self.arrived).as_millis());
        match self.kind {
            ListenerKind::Peers => forward::stopped(),
            ListenerKind::Callers | ListenerKind::Health | ListenerKind::Metrics => {
                Reply::error(504, "this node stops; the request may have run")
            }
        }
    }
}

/// Waits until this node has to answer a request itself, as its process is about to end. Returns
/// never for a request whose answer has begun by then, since nothing else can be sent.
fn answer_due(node: &Rc<Node>, writer: &Writer, is_call: bool) -> impl Future<Output = ()> + use<> {
    let (node, sent) = (node.clone(), writer.sent());
    let before = sent.get();
    async move {
        node.shutdown.ends().await;
        if !is_call || sent.get() != before {
            pending::<()>().await;
        }
    }
}

/// Waits until the client closes the connection, and buffers pipelined requests as far as there is
/// memory for them.
async fn wait_for_close(reader: &mut Reader, account: Option<&Account>) {
    loop {
        let held = reader.held();
        let may_read = match account {
            Some(account) => account.may_read_ahead(held),
            None => reader.buffer.len() < MAX_PIPELINED,
        };
        if !may_read {
            return pending().await;
        }
        match reader.fill().await {
            Ok(true) => {
                if let Some(account) = account {
                    account.add(reader.held().saturating_sub(held));
                }
            }
            Ok(false) | Err(_) => return,
        }
    }
}

/// Receives the rest of a request that was answered before it was complete, for a short time and
/// up to [`LINGER_BYTES`].
async fn linger(reader: &mut Reader, writer: &mut Writer) {
    // The connection is closed in any case.
    let _ = writer.finish().await;
    let rest = async {
        let mut received = 0;
        while received < LINGER_BYTES
            && let Ok(true) = reader.fill().await
        {
            received += reader.buffer.len();
            reader.buffer.clear();
        }
    };
    let _ = timeout(LINGER_TIME, rest).await;
}

async fn send_reply(writer: &mut Writer, mut reply: Reply, close: bool) -> io::Result<()> {
    reply.headers.push("Content-Length", reply.body.len().to_string());
    if close {
        reply.headers.push("Connection", "close");
    }
    let head = response_head(reply.status, &reply.headers);
    writer.send_message(head, reply.body).await
}
