use std::time::{Duration, Instant};

/// Seed of the tests that run nodes.
pub(crate) const SEED: u64 = 0x5eed;
/// Passing this time only fails a test.
const DEADLINE: Duration = Duration::from_secs(40);
const POLL: Duration = Duration::from_millis(10);

/// Waits until a condition gives a value.
pub(crate) fn until<T>(what: &str, condition: impl Fn() -> Option<T>) -> T {
    let begin = Instant::now();
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(begin.elapsed() < DEADLINE, "still waiting until {what}");
        std::thread::sleep(POLL);
    }
}
