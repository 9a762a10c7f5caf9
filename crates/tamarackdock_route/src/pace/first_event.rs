use std::{collections::VecDeque, time::Duration};

/// Longest wait for the first event. A load of weights pauses a target for up to 2 s.
pub const LONGEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Shortest wait for the first event. A host whose own paths are lost finds that out within
/// 550 ms, and must not blame the target before.
pub const SHORTEST_TIMEOUT: Duration = Duration::from_millis(600);
/// Multiple of the usual time after which a target counts as silent.
const TIMEOUT_FACTOR: u32 = 5;
/// Number of samples below which the usual time is not known.
const MIN_SAMPLES: usize = 8;
/// Number of samples of which the median is taken. Silent targets add one sample each, and a
/// third of 45 targets that fall silent together leave the median where it was.
const MAX_SAMPLES: usize = 64;

/// Times from the sending of a run to its first event, on the targets of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FirstEvents(VecDeque<Duration>);

impl FirstEvents {
    /// Adds a sample. A wait that ended by silence counts with its length, so that the timeout
    /// grows if all targets of the service become slower.
    pub fn observe(&mut self, time: Duration) {
        if self.0.len() == MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back(time);
    }

    /// Returns the median of the last samples, or `None` before there are enough of them.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().filter(|_| sorted.len() >= MIN_SAMPLES)
    }

    /// Returns the time without a sign of a target after which it counts as silent.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let learned = self.usual().map(|usual| usual * TIMEOUT_FACTOR);
        learned.unwrap_or(LONGEST_TIMEOUT).clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT)
    }
}
