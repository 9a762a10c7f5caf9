//! Bodies that are produced piece by piece.

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::{SinkExt, StreamExt};

/// Pieces that may wait between a producer and the socket. A slow reader
/// stops the producer instead of filling memory.
const PIECES_IN_FLIGHT: usize = 8;

/// One step of a streamed body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// More bytes.
    Data(Bytes),
    /// The body is complete. A body without this mark is broken off, and its
    /// connection is closed without the last chunk.
    End,
}

/// The producer's end.
#[derive(Debug, Clone)]
pub struct Sender(mpsc::Sender<Piece>);

/// The socket's end.
#[derive(Debug)]
pub struct Receiver(mpsc::Receiver<Piece>);

/// Makes a connected pair.
#[must_use]
pub fn channel() -> (Sender, Receiver) {
    let (sender, receiver) = mpsc::channel(PIECES_IN_FLIGHT);
    (Sender(sender), Receiver(receiver))
}

impl Sender {
    /// Sends a piece and returns whether the reader is still there.
    pub async fn send(&mut self, piece: Piece) -> bool {
        self.0.send(piece).await.is_ok()
    }
}

impl Receiver {
    /// Returns the next piece, or `None` if the producer broke off.
    pub async fn next(&mut self) -> Option<Piece> {
        self.0.next().await
    }
}
