use std::{
    io::Read as _,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Instant,
};

use crate::call;

const MAX_TOKENS: u64 = 100_000;

/// A stream that one caller reads until it ends.
#[derive(Debug, Clone, Default)]
pub(crate) struct Live(Arc<Mutex<Option<Instant>>>);

impl Live {
    /// Starts the stream.
    pub(crate) fn spawn(address: SocketAddr, account: String, prompt: String) -> Self {
        let live = Self::default();
        let theirs = live.clone();
        thread::spawn(move || {
            let sent = call::send(address, &account, &prompt, MAX_TOKENS, true);
            let Ok(mut connection) = sent else { return };
            let mut bytes = [0; 4096];
            while matches!(connection.read(&mut bytes), Ok(count) if count > 0) {
                theirs.set(Instant::now());
            }
        });
        live
    }

    /// Returns when the last bytes came.
    pub(crate) fn last_served(&self) -> Option<Instant> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, at: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(at);
    }
}
