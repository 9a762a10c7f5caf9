//! An app that calls the plain service `parcels`, whose calls must not be repeated.

use std::{
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

const PAUSE: Duration = Duration::from_millis(40);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Calls as the app counted them.
#[derive(Debug, Default)]
pub(crate) struct Counts {
    pub(crate) calls: AtomicU64,
    pub(crate) failed: AtomicU64,
    stop: AtomicBool,
}

/// A running app.
pub(crate) struct PlainServiceCaller {
    counts: Arc<Counts>,
    thread: JoinHandle<()>,
}

impl PlainServiceCaller {
    /// Starts the app, which calls the nodes in turn.
    pub(crate) fn spawn(nodes: Vec<SocketAddr>) -> Self {
        let counts = Arc::new(Counts::default());
        let thread_counts = counts.clone();
        let thread = thread::spawn(move || {
            for (number, node) in nodes.iter().cycle().enumerate() {
                if thread_counts.stop.load(Ordering::Relaxed) {
                    return;
                }
                thread_counts.calls.fetch_add(1, Ordering::Relaxed);
                if !call(*node, number).unwrap_or(false) {
                    thread_counts.failed.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(PAUSE);
            }
        });
        Self { counts, thread }
    }

    /// Stops the app and returns its counts.
    pub(crate) fn stop(self) -> Arc<Counts> {
        self.counts.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        self.counts
    }
}

/// Makes one call and returns whether it succeeded and the answer contains its body.
fn call(node: SocketAddr, number: usize) -> std::io::Result<bool> {
    let body = format!("parcel {number}");
    let mut stream = TcpStream::connect(node)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "POST /v1/services/parcels/status HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer shop-key\r\nx-call-id: {number}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer.starts_with("HTTP/1.1 200") && answer.contains(&body))
}
