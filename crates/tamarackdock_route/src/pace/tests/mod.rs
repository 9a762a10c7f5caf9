mod silence;

use tamarackdock_types::clock::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}
