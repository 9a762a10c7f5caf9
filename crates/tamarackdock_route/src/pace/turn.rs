use std::time::Duration;

use crate::hash::{fingerprint, score};

/// Multiple of the usual time to a first event after which a probe should have been answered.
const PROBE_FACTOR: u32 = 3;
/// Shortest time that a host leaves to the probe of another one.
const MIN_PROBE_TIME: Duration = Duration::from_millis(150);
/// Longest time that a host leaves to it.
const MAX_PROBE_TIME: Duration = Duration::from_millis(600);

/// The turn of a host among those that want to probe a target.
///
/// One host probes first, one more after a probe time, two more after the next one, then four: as
/// many as the window of a single host would admit, also while hosts can't reach each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Turn(Duration);

impl Turn {
    /// Returns the turn of a host. `others` are the other hosts that may probe the target, and
    /// `usual` the usual time to a first event, if that is known. The lowest hash of target and
    /// host goes first.
    #[must_use]
    pub fn new<'a>(
        target: &str,
        host: &str,
        others: impl Iterator<Item = &'a str>,
        usual: Option<Duration>,
    ) -> Self {
        let target = fingerprint(target.as_bytes());
        let order = |host: &str| score(fingerprint(host.as_bytes()), target);
        let own = order(host);
        let before = others.filter(|other| *other != host && order(other) < own).count();
        // 0 for the first host, then 1, 2, 2, 3, 3, 3, 3, 4 and so on.
        let step = usize::BITS - before.leading_zeros();
        let probe_time = usual.map_or(MIN_PROBE_TIME, |usual| usual * PROBE_FACTOR);
        Self(probe_time.clamp(MIN_PROBE_TIME, MAX_PROBE_TIME) * step)
    }

    /// Returns for how long the host leaves the target to others.
    #[must_use]
    pub fn delay(self) -> Duration {
        self.0
    }
}
