use tamarackdock_types::clock::Instant;

use crate::{Action, Call};

/// Admission control, which decides when calls start.
pub trait Admission {
    /// Starts or refuses a new call, or lets it wait for a later decision.
    fn offer(&mut self, call: Call, now: Instant) -> Vec<Action>;

    /// Records the end of a started call, or drops a waiting one whose caller
    /// has disconnected.
    fn finish(&mut self, id: u64, now: Instant) -> Vec<Action>;

    /// Refuses waiting calls that can no longer start before their deadline.
    /// Must be called at intervals that are short against the deadlines.
    fn tick(&mut self, now: Instant) -> Vec<Action>;

    /// Changes the node's share of the capacity, in concurrent tokens or
    /// concurrent calls.
    fn set_capacity(&mut self, capacity: u64, now: Instant) -> Vec<Action>;
}
