//! Shared items of the lease tests.

use std::time::Duration;

use tamarackdock_lease::Timing;

/// Longest time in milliseconds that an order takes to arrive.
pub(crate) const DELIVERY: u64 = 200;

/// Returns the durations of all leases in the tests.
pub(crate) fn timing() -> Timing {
    let millis = Duration::from_millis;
    let timing = Timing {
        duration: millis(2000),
        margin: millis(100),
        poll: millis(200),
        send_window: millis(300),
        delivery: millis(DELIVERY),
    };
    timing.check().unwrap()
}
