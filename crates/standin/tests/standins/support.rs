use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_wire::{
    client::{BufferedResponse, Error, Pool, Timeouts},
    validation::Limits,
};

/// Seed of the stand-ins in every test of this directory.
pub(crate) const SEED: u64 = 0x5eed;
/// Longest wait before a test fails; the service guarantees no such time.
pub(crate) const TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the client side of a test to its end. The seed is printed, so that the report
/// of a failure has it.
pub(crate) fn run<T>(task: impl Future<Output = T>) -> T {
    println!("seed {SEED:#x}");
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(task)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < TIMEOUT, "still waiting until {what}");
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

pub(crate) fn pool() -> Rc<Pool> {
    Rc::new(Pool::new(Limits::default()))
}

pub(crate) fn request(method: &str, path: &str, body: &str) -> Request<Bytes> {
    let request = Request::builder().method(method).uri(path).header("host", "standin");
    request.body(Bytes::copy_from_slice(body.as_bytes())).unwrap()
}

/// Makes one call on a new connection and reads the whole response.
pub(crate) async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<BufferedResponse, Error> {
    pool().call(address, request, Timeouts::default()).await
}
