use std::time::Duration;

use tamarackdock_route::refusal;

/// Shortest pause of an item after a target refused it or its scoring call, or had the wrong
/// weights.
pub(crate) const REFUSED_PAUSE: Duration = refusal::SHORTEST_PAUSE;
/// Pause after the first attempt that broke. It doubles with each one in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 10;

/// The attempts in a row that broke, by which the pause before the next one grows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Backoff(u32);

impl Backoff {
    /// Records an attempt that broke, and returns the pause before the next one.
    pub(crate) fn next(&mut self, longest: Duration) -> Duration {
        let pause = FIRST_PAUSE * 2_u32.pow(self.0.min(MAX_DOUBLINGS));
        self.0 += 1;
        pause.min(longest)
    }
}
