mod ramp;
mod silence;
mod simulation;
mod turn;

use tamarackdock_types::clock::Instant;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}
