use std::time::{Duration, Instant};

/// Seed of the stand-ins in tests that run nodes.
pub(crate) const SEED: u64 = 0x5eed;
/// Longest wait before a test fails; the service guarantees no such time.
const TIMEOUT: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(10);

/// Waits until a condition returns a value, and returns it.
pub(crate) fn wait_until<T>(what: &str, condition: impl Fn() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(begin.elapsed() < TIMEOUT, "still waiting until {what}");
        std::thread::sleep(POLL);
    }
}
