use super::speed::{MIN_SAMPLES, slowdown};

/// Milliseconds until the first event that don't depend on the text: the request's way to the
/// target and back over a new connection.
const CONNECT_MS: f64 = 10.0;
/// Milliseconds in which a target reads a token of the prompt and of the text so far.
const READ_MS_PER_TOKEN: f64 = 0.003;
/// Fraction by which events of targets in other data centres count as slower.
const DISTANCE: f64 = 0.01;

/// A target as the decisions see it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target {
    /// Milliseconds per event of a run that is alone on it, measured or assumed.
    pub event_ms: f64,
    /// Number of events that were measured.
    pub samples: u32,
    /// Runs in progress.
    pub running: u32,
    /// Number of runs that may start on it now.
    pub open: u32,
    /// Whether it is in the data centre of the host.
    pub is_local: bool,
    /// Number of its runs that decide when their step ends.
    pub decisive: u32,
}

impl Target {
    /// Returns the expected end of a run that is in progress.
    #[must_use]
    pub fn running_end_ms(&self, events: f64) -> f64 {
        events * self.event_ms * slowdown(self.running)
    }

    /// Returns the expected end of a run that starts now, with a number of tokens that the
    /// target reads first.
    #[must_use]
    pub fn start_end_ms(&self, events: f64, read_tokens: f64) -> f64 {
        let distance = if self.is_local { 0.0 } else { DISTANCE };
        let event_ms = self.event_ms * (slowdown(self.running + 1) + distance);
        CONNECT_MS + READ_MS_PER_TOKEN * read_tokens + events * event_ms
    }

    /// Returns whether enough events were measured for a move.
    pub(super) fn is_measured(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// Records that a run starts on it.
    pub(super) fn add_run(&mut self) {
        self.running += 1;
        self.open = self.open.saturating_sub(1);
    }
}
