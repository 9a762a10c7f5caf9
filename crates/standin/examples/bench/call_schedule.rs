use std::time::{Duration, Instant};

/// The times at which one caller makes its calls.
pub(crate) struct CallSchedule {
    due: Instant,
    interval: Option<Duration>,
}

impl CallSchedule {
    /// Spreads the calls of `callers` callers evenly over time, at `rate` calls per
    /// second in total. Without a rate every call is due at once.
    pub(crate) fn new(rate: Option<u32>, caller: usize, callers: usize) -> Self {
        let [caller, callers] =
            [caller, callers].map(|count| u32::try_from(count).unwrap_or(u32::MAX));
        let spacing = rate.map(|rate| Duration::from_secs(1) / rate);
        let offset = spacing.unwrap_or_default() * caller;
        Self { due: Instant::now() + offset, interval: spacing.map(|spacing| spacing * callers) }
    }

    /// Waits until the next call is due and returns the time from which its latency
    /// counts. If the call before took too long, that is when the call was due, so
    /// that the delay is counted. Otherwise it is when the wait ended, so that the 1 ms
    /// steps of the runtime's timers are not counted.
    pub(crate) async fn next(&mut self) -> Instant {
        let Some(interval) = self.interval else {
            return Instant::now();
        };
        let due = self.due;
        self.due += interval;
        let wait = due.saturating_duration_since(Instant::now());
        if wait.is_zero() {
            return due;
        }
        monoio::time::sleep(wait).await;
        Instant::now()
    }
}
