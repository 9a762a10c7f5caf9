//! The interface that accepts usage reports.

use bytes::Bytes;

use crate::Call;

/// The reporting interface.
pub trait Reports {
    /// Sends the sealed bytes of a window. Sending the same bytes again has no
    /// effect.
    fn send(&self, window: u64, bytes: Bytes) -> Call<'_, ()>;
}
