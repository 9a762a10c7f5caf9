use std::{
    io::Read as _,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Instant,
};

use crate::call;

const MAX_TOKENS: u64 = 100_000;

/// A streamed completion that a thread reads until it ends. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct BackgroundStream(Arc<Mutex<Option<Instant>>>);

impl BackgroundStream {
    /// Starts a thread that opens the stream and reads it.
    pub(crate) fn spawn(address: SocketAddr, account: String, prompt: String) -> Self {
        let stream = Self::default();
        let reader = stream.clone();
        thread::spawn(move || {
            let opened = call::send(address, &account, &prompt, MAX_TOKENS, true);
            let Ok(mut connection) = opened else { return };
            let mut bytes = [0; 4096];
            while matches!(connection.read(&mut bytes), Ok(count) if count > 0) {
                reader.set_last_received(Instant::now());
            }
        });
        stream
    }

    /// Returns when the last bytes were received, or `None` before the first ones.
    pub(crate) fn last_received(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_last_received(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
    }
}
