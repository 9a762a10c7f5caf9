use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::BytesMut;
use futures_util::FutureExt;
use monoio::{
    io::{
        AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, OwnedReadHalf, OwnedWriteHalf, Splitable,
    },
    net::TcpStream,
    time::timeout,
};

use super::{HeadEnd, HeadError, RequestHead};

/// Buffer size of one read, in bytes. Events and most heads fit.
const READ_SIZE: usize = 4 * 1024;

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
}

/// The sending half of a connection.
pub(crate) struct Writer {
    half: OwnedWriteHalf<TcpStream>,
    sent: Rc<Cell<u64>>,
}

impl Connection {
    /// Wraps an accepted or connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        // Without this option small segments are delayed, but the connection works.
        let _ = stream.set_nodelay(true);
        let (reader, writer) = stream.into_split();
        Self {
            reader: Reader { half: reader, buffer: BytesMut::new(), head_end: HeadEnd::default() },
            writer: Writer::new(writer),
        }
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
        self.reader.buffer.is_empty() && self.reader.fill().now_or_never().is_none()
    }
}

impl Reader {
    /// Takes the head of a request from the received bytes. Returns `None` if it is not complete.
    pub(crate) fn take_head(&mut self, limit: usize) -> Result<Option<RequestHead>, HeadError> {
        RequestHead::parse_next(&mut self.buffer, &mut self.head_end, limit)
    }

    /// Receives more bytes into the buffer. Returns `false` at the end of the stream.
    pub(crate) async fn fill(&mut self) -> io::Result<bool> {
        let (result, bytes) = self.half.read(BytesMut::with_capacity(READ_SIZE)).await;
        let count = result?;
        if self.buffer.is_empty() {
            self.buffer = bytes;
        } else {
            self.buffer.extend_from_slice(&bytes);
        }
        Ok(count > 0)
    }
}

impl Writer {
    fn new(half: OwnedWriteHalf<TcpStream>) -> Self {
        Self { half, sent: Rc::default() }
    }

    /// Returns the number of messages whose sending has begun, which changes with each one.
    pub(crate) fn sent(&self) -> Rc<Cell<u64>> {
        self.sent.clone()
    }

    /// Sends all bytes.
    pub(crate) async fn send(&mut self, bytes: impl Into<Vec<u8>>) -> io::Result<()> {
        self.sent.set(self.sent.get() + 1);
        let (result, _) = self.half.write_all(bytes.into()).await;
        result.map(drop)
    }

    /// Tells the other side that nothing more is sent.
    pub(crate) async fn finish(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }
}
