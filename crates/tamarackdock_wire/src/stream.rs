//! Channels for bodies that are produced piece by piece.

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};

/// Pieces buffered between a producer and the socket. When a slow reader lets
/// the buffer fill up, the producer waits, so that memory stays bounded.
const BUFFERED_PIECES: usize = 8;

/// A part of a streamed body, or its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// More bytes.
    Data(Bytes),
    /// The body is complete. If the producer is dropped before it sends this,
    /// the body is incomplete and the connection is closed without the last chunk.
    End,
}

/// The producer's half of a channel.
#[derive(Debug, Clone)]
pub struct Sender(mpsc::Sender<Piece>);

/// The socket's half of a channel.
#[derive(Debug)]
pub struct Receiver(mpsc::Receiver<Piece>);

/// Creates a channel for the pieces of one body.
#[must_use]
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::channel(BUFFERED_PIECES);
    (Sender(sender), Receiver(receiver))
}

impl Sender {
    /// Sends a piece and returns whether the receiver still exists.
    pub async fn send(&mut self, piece: Piece) -> bool {
        self.0.send(piece).await.is_ok()
    }
}

impl Receiver {
    /// Returns the next piece, or `None` if every sender was dropped.
    pub async fn next(&mut self) -> Option<Piece> {
        self.0.next().await
    }
}
