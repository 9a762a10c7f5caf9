use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use monoio::{LegacyDriver, RuntimeBuilder};
use tamarackdock_wire::{client::Pool, guard::Limits};

/// Seed of every test in this directory.
pub(crate) const SEED: u64 = 0x5eed;
/// Passing this time only fails a test.
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// Runs a test's client side and prints the seed for a failure's report.
pub(crate) fn run<T>(task: impl Future<Output = T>) -> T {
    println!("seed {SEED:#x}");
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    runtime.unwrap().block_on(task)
}

/// Waits until a condition holds.
pub(crate) async fn until(what: &str, condition: impl Fn() -> bool) {
    let begin = Instant::now();
    while !condition() {
        assert!(begin.elapsed() < DEADLINE, "still waiting until {what}");
        monoio::time::sleep(Duration::from_millis(1)).await;
    }
}

pub(crate) fn pool() -> Rc<Pool> {
    Rc::new(Pool::new(Limits::default()))
}
