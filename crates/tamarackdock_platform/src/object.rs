//! The object store.

use bytes::Bytes;

use crate::Call;

/// The object store. Objects are written once.
pub trait Store {
    /// Writes an object. Writing the same bytes again has no effect.
    fn put(&self, name: String, bytes: Bytes) -> Call<'_, ()>;
    /// Reads an object; returns `None` if it does not exist.
    fn get(&self, name: String) -> Call<'_, Option<Bytes>>;
}
