//! Points in time and clocks. State machines take the current time as an
//! input, so that tests control it.

use std::{cell::Cell, ops::Add, rc::Rc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds, on a clock that also counts the time that
/// the host spends suspended.
///
/// Instants of different processes must not be compared.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{_0} ms")]
pub struct Instant(u64);

impl Instant {
    /// Makes an instant from milliseconds since the start of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the start of the clock.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

/// A source of the current time.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// The clock of a running node: `CLOCK_BOOTTIME`, which counts the time that
/// the host spends suspended. A lease would otherwise outlive its term on a
/// host that was suspended and resumed.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Instant {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
        Instant(seconds * 1000 + nanos / 1_000_000)
    }
}

/// A clock for tests that moves only by [`ManualClock::advance`].
#[derive(Debug, Clone, Default)]
pub struct ManualClock(Rc<Cell<Instant>>);

impl ManualClock {
    /// Moves the clock forward.
    pub fn advance(&self, span: Duration) {
        self.0.set(self.0.get() + span);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.0.get()
    }
}
