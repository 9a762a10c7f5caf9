use std::{
    cell::Cell, future::poll_fn, io, net::SocketAddr, pin::Pin, rc::Rc, task::Poll, time::Duration,
};

use bytes::{Buf, Bytes, BytesMut};
use futures_util::{
    FutureExt,
    future::{Either, select},
    pin_mut,
};
use monoio::{
    buf::IoBuf,
    io::{AsyncReadRent, AsyncWriteRent, OwnedReadHalf, OwnedWriteHalf, Splitable},
    net::TcpStream,
    time::timeout,
};

use super::{HeadEnd, HeadError, RequestHead};
use crate::{callers::Account, turn::Turn};

/// Buffer size of one read, in bytes. Events and most heads fit.
const READ_SIZE: usize = 4 * 1024;
/// Largest buffer that is kept for the next read.
const MAX_KEPT_BUFFER: usize = 2 * READ_SIZE;
/// Largest body that is copied behind its head, so that both are sent at once.
const MAX_COPIED_BODY: usize = 16 * 1024;

/// A TCP connection with a buffer for received bytes.
pub struct Connection {
    pub(crate) reader: Reader,
    pub(crate) writer: Writer,
}

/// The receiving half of a connection.
pub(crate) struct Reader {
    half: OwnedReadHalf<TcpStream>,
    /// Received bytes that are not parsed yet.
    pub(crate) buffer: BytesMut,
    /// How far the next head has arrived.
    head_end: HeadEnd,
    failure: WriteFailure,
    /// Time for which bytes were there whenever they were asked for.
    turn: Turn,
}

/// The sending half of a connection.
pub(crate) struct Writer {
    half: OwnedWriteHalf<TcpStream>,
    sent: Rc<Cell<u64>>,
    failure: WriteFailure,
    /// Memory of the connection, if it is one of a caller.
    account: Option<Rc<Account>>,
}

/// Whether a write to a connection has failed. The operating system reports an error of a
/// connection once, to the write or read that meets it first, and reads after a write that failed
/// see an orderly end. See `docs/incidents/early-answers.md`.
#[derive(Debug, Clone, Default)]
struct WriteFailure(Rc<Cell<bool>>);

impl Connection {
    /// Wraps an accepted or connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Without this option small segments are delayed, but the connection works.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        let failure = WriteFailure::default();
        Self {
            reader: Reader {
                half: reader,
                buffer: BytesMut::new(),
                head_end: HeadEnd::default(),
                failure: failure.clone(),
                turn: Turn::default(),
            },
            writer: Writer { half: writer, sent: Rc::default(), failure, account: None },
        }
    }

    /// Accounts for the memory of responses that are not written.
    pub(crate) fn charge(&mut self, account: Rc<Account>) {
        self.writer.account = Some(account);
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, or `TimedOut` after `within`.
    pub async fn open(address: SocketAddr, within: Duration) -> io::Result<Self> {
        let connected = timeout(within, TcpStream::connect_addr(address)).await;
        Ok(Self::new(connected.map_err(|_| io::ErrorKind::TimedOut)??))
    }

    /// Returns whether an idle connection is open and has no unread bytes. Unread bytes
    /// would be taken for the response to the next request.
    #[must_use]
    pub fn is_reusable(&mut self) -> bool {
        self.reader.buffer.is_empty() && self.reader.receive().now_or_never().is_none()
    }
}

impl Reader {
    /// Takes the head of a request from the received bytes. Returns `None` if it is not complete.
    pub(crate) fn take_head(&mut self, limit: usize) -> Result<Option<RequestHead>, HeadError> {
        RequestHead::parse_next(&mut self.buffer, &mut self.head_end, limit)
    }

    /// Returns the memory that received bytes use which are not parsed.
    pub(crate) fn held(&self) -> usize {
        if self.buffer.is_empty() { 0 } else { self.buffer.capacity() }
    }

    /// Drops received bytes that are not parsed.
    pub(crate) fn clear(&mut self) {
        self.buffer = BytesMut::new();
    }

    /// Receives more bytes into the buffer. Returns `false` at the end of the stream, and an error
    /// if a write has failed by then, as the end may be that of a connection that broke.
    ///
    /// All loops over received bytes come here. While there are always bytes, other tasks and timers
    /// run in between, so that a deadline ends the loop whatever the bytes are.
    pub(crate) async fn fill(&mut self) -> io::Result<bool> {
        self.turn.pause_if_over().await;
        self.receive().await
    }

    /// Receives like [`Self::fill`], without a pause.
    async fn receive(&mut self) -> io::Result<bool> {
        let buffer = self.take_buffer();
        let reading = self.half.read(buffer);
        pin_mut!(reading);
        let (result, bytes) = match poll_once(reading.as_mut()).await {
            Poll::Ready(read) => read,
            Poll::Pending => {
                self.turn.end();
                reading.await
            }
        };
        let count = result?;
        if self.buffer.is_empty() {
            self.buffer = bytes;
        } else {
            self.buffer.extend_from_slice(&bytes);
        }
        match count {
            0 if self.failure.0.get() => Err(io::ErrorKind::ConnectionReset.into()),
            _ => Ok(count > 0),
        }
    }

    /// Returns a buffer for one read: the one of an earlier read if nothing is left in it.
    fn take_buffer(&mut self) -> BytesMut {
        if !self.buffer.is_empty() {
            return BytesMut::with_capacity(READ_SIZE);
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        if buffer.capacity() > MAX_KEPT_BUFFER {
            return BytesMut::with_capacity(READ_SIZE);
        }
        buffer.reserve(READ_SIZE);
        buffer
    }
}

impl Writer {
    /// Returns the number of messages whose sending has begun, which changes with each one.
    pub(crate) fn sent(&self) -> Rc<Cell<u64>> {
        self.sent.clone()
    }

    /// Sends all bytes.
    pub(crate) async fn send(&mut self, bytes: impl Into<Vec<u8>>) -> io::Result<()> {
        self.sent.set(self.sent.get() + 1);
        self.send_all(bytes.into(), 0).await
    }

    /// Sends a head and a body. Only a small body is copied.
    pub(crate) async fn send_message(&mut self, mut head: Vec<u8>, body: Bytes) -> io::Result<()> {
        self.sent.set(self.sent.get() + 1);
        if body.len() <= MAX_COPIED_BODY {
            head.extend_from_slice(&body);
            return self.send_all(head, 0).await;
        }
        self.send_all(head, body.len()).await?;
        let (unsent, mut rest) = (body.len(), body);
        Box::pin(self.send_rest(&mut rest, unsent)).await
    }

    /// Sends all bytes, behind which a number of others is in memory.
    async fn send_all(&mut self, bytes: Vec<u8>, behind: usize) -> io::Result<()> {
        let held = bytes.len() + behind;
        let (count, bytes) = self.write(bytes, held).await?;
        if count == bytes.len() {
            self.accepted();
            return Ok(());
        }
        let mut rest = Bytes::from(bytes);
        rest.advance(count);
        Box::pin(self.send_rest(&mut rest, held)).await
    }

    /// Returns whether a write has failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failure.0.get()
    }

    /// Sends the rest of a message and removes from it what is sent, so that another call can go on
    /// where a dropped one was. `held` is the memory of the message in bytes.
    pub(crate) async fn send_rest(&mut self, rest: &mut Bytes, held: usize) -> io::Result<()> {
        while !rest.is_empty() {
            match self.write(rest.clone(), held).await? {
                (0, _) => return Err(io::ErrorKind::WriteZero.into()),
                (count, _) => rest.advance(count),
            }
        }
        // An empty part keeps the memory of the whole message.
        *rest = Bytes::new();
        self.accepted();
        Ok(())
    }

    fn accepted(&self) {
        if let Some(account) = &self.account {
            account.sent();
        }
    }

    /// Sends some of the bytes, and returns their number. `held` is the memory of the response that
    /// is not sent yet. Fails if the connection of a caller is to be closed.
    async fn write<T: IoBuf>(&mut self, bytes: T, held: usize) -> io::Result<(usize, T)> {
        let written = self.write_accounted(bytes, held).await;
        if written.is_err() {
            self.failure.0.set(true);
        }
        written
    }

    /// Sends some of the bytes like [`Self::write`].
    async fn write_accounted<T: IoBuf>(&mut self, bytes: T, held: usize) -> io::Result<(usize, T)> {
        let writing = self.half.write(bytes);
        let Some(account) = &self.account else {
            let (result, bytes) = writing.await;
            return Ok((result?, bytes));
        };
        pin_mut!(writing);
        // Most responses are accepted at once, and need no entry and no timer.
        let (result, bytes) = match poll_once(writing.as_mut()).await {
            Poll::Ready(written) => written,
            Poll::Pending => {
                account.send(held);
                Box::pin(until_accepted(account, writing)).await?
            }
        };
        Ok((result?, bytes))
    }

    /// Tells the other side that nothing more is sent.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }
}

/// Waits until the client accepts bytes. Fails if that takes too long, or the connection is to be
/// closed.
async fn until_accepted<T>(account: &Account, accepted: impl Future<Output = T>) -> io::Result<T> {
    let closed = account.closed();
    let accepted = timeout(account.unread_time(), accepted);
    pin_mut!(closed, accepted);
    match select(closed, accepted).await {
        Either::Left(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        Either::Right((Ok(written), _)) => Ok(written),
        Either::Right((Err(_), _)) => {
            account.expire();
            Err(io::ErrorKind::TimedOut.into())
        }
    }
}

/// Polls a future once, on behalf of the current task.
async fn poll_once<F: Future>(mut future: Pin<&mut F>) -> Poll<F::Output> {
    poll_fn(|context| Poll::Ready(future.as_mut().poll(context))).await
}
