use std::{cell::Cell, io, rc::Rc};

use futures_util::FutureExt;
use monoio::{
    BufResult,
    buf::{IoBufMut, IoVecBufMut},
    io::AsyncReadRent,
};

use super::{Direction, Error, Limits, Scanner};

const READ_BYTES: usize = 4 << 10;

/// The error of a connection's input, shared with the owner of the decoder,
/// because the decoder's own errors don't carry it.
#[derive(Debug, Clone, Default)]
pub(crate) struct SharedError(Rc<Cell<Option<Error>>>);

impl SharedError {
    pub(crate) fn get(&self) -> Option<Error> {
        self.0.get()
    }
}

/// A reader that passes on only bytes that its [`Scanner`] accepts, one
/// message at a time. At the end of a message it reports the end of input
/// until [`CheckedReader::begin_message`] is called, so that a decoder that
/// finds another end than the scanner fails instead of reading into the next
/// message.
#[derive(Debug)]
pub struct CheckedReader<R> {
    inner: R,
    scanner: Scanner,
    error: SharedError,
    buffer: Vec<u8>,
    /// Bytes of the buffer that were passed on.
    passed: usize,
    /// Bytes of the buffer that the scanner accepted.
    accepted: usize,
    /// Nothing more is passed on, because of a close or an invalid message.
    ended: bool,
    /// The other side closed the connection, or it failed.
    is_closed: bool,
}

impl<R: AsyncReadRent> CheckedReader<R> {
    /// Creates a reader that checks the bytes of `inner`.
    #[must_use]
    pub fn new(inner: R, direction: Direction, limits: Limits) -> Self {
        Self {
            inner,
            scanner: Scanner::new(direction, limits),
            error: SharedError::default(),
            buffer: Vec::new(),
            passed: 0,
            accepted: 0,
            ended: false,
            is_closed: false,
        }
    }

    pub(crate) fn error(&self) -> SharedError {
        self.error.clone()
    }

    /// Allows the next message to be read.
    pub fn begin_message(&mut self) {
        self.scanner.begin_message();
    }

    /// Allows a response to HEAD to be read.
    pub(crate) fn begin_bodiless(&mut self) {
        self.scanner.begin_bodiless();
    }

    /// Returns whether the message has ended and all of it was passed on.
    #[must_use]
    pub fn is_message_read(&self) -> bool {
        self.scanner.is_complete() && self.passed == self.accepted
    }

    /// Waits for the first byte of the next message and returns whether there is one.
    pub(crate) async fn has_next(&mut self) -> bool {
        self.accepted < self.buffer.len() || matches!(self.fill().await, Ok(count) if count > 0)
    }

    /// Waits until the connection is closed or fails. Bytes that arrive meanwhile
    /// are kept for the next message; a close that follows them is noticed only
    /// when they have been read.
    pub(crate) async fn closed(&mut self) {
        if self.has_next().await {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether an idle connection is open and has nothing to read.
    /// Bytes that arrive between two responses belong to no request.
    pub(crate) fn is_idle(&mut self) -> bool {
        let idle = self.scanner.is_between_messages() && self.passed == self.accepted;
        !self.ended && idle && self.has_next().now_or_never().is_none()
    }

    /// Reads and drops up to `limit` bytes until the other side closes.
    pub(crate) async fn discard(&mut self, limit: u64) {
        let mut left = limit;
        let mut buffer = Vec::with_capacity(READ_BYTES);
        while !self.is_closed && left > 0 {
            buffer.clear();
            let (result, returned) = self.inner.read(buffer).await;
            buffer = returned;
            let count = result.unwrap_or_default();
            self.is_closed = count == 0;
            left = left.saturating_sub(count as u64);
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        if self.ended {
            return Ok(0);
        }
        let buffer = self.empty_buffer();
        let (result, buffer) = self.inner.read(buffer).await;
        let count = result.inspect_err(|_| {
            self.ended = true;
            self.is_closed = true;
        })?;
        self.ended = count == 0;
        self.is_closed = count == 0;
        self.buffer = buffer;
        self.passed = 0;
        self.accepted = 0;
        Ok(count)
    }

    /// Returns a buffer for a read. A cancelled read loses its buffer, so the
    /// current one is reused only if all of its bytes were passed on.
    fn empty_buffer(&mut self) -> Vec<u8> {
        if self.passed < self.buffer.len() {
            return Vec::with_capacity(READ_BYTES);
        }
        self.passed = 0;
        self.accepted = 0;
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.clear();
        buffer.reserve_exact(READ_BYTES);
        buffer
    }

    /// Makes accepted bytes available, reading more if necessary, and returns
    /// whether there are any.
    async fn advance(&mut self) -> io::Result<bool> {
        while self.passed == self.accepted && !self.scanner.is_complete() {
            if self.accepted == self.buffer.len() && self.fill().await? == 0 {
                return Ok(false);
            }
            match self.scanner.feed(&self.buffer[self.accepted..]) {
                Ok(count) => self.accepted += count,
                Err(error) => {
                    self.ended = true;
                    self.error.0.set(Some(error));
                    return Err(io::Error::new(io::ErrorKind::InvalidData, error));
                }
            }
        }
        Ok(self.passed < self.accepted)
    }
}

impl<R: AsyncReadRent> AsyncReadRent for CheckedReader<R> {
    async fn read<T: IoBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(error) = self.advance().await {
            return (Err(error), buf);
        }
        let mut unread = &self.buffer[self.passed..self.accepted];
        let (result, buf) = unread.read(buf).await;
        self.passed += result.as_ref().copied().unwrap_or_default();
        (result, buf)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buf: T) -> BufResult<usize, T> {
        if let Err(error) = self.advance().await {
            return (Err(error), buf);
        }
        let mut unread = &self.buffer[self.passed..self.accepted];
        let (result, buf) = unread.readv(buf).await;
        self.passed += result.as_ref().copied().unwrap_or_default();
        (result, buf)
    }
}
