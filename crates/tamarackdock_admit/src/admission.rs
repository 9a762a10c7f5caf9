use tamarackdock_types::clock::Instant;

use crate::{Action, Call};

/// Decides when calls start.
pub trait Admission {
    /// Takes a new call.
    fn offer(&mut self, call: Call, now: Instant) -> Vec<Action>;

    /// Takes the end of a started call, or of a waiting one whose caller left.
    fn finish(&mut self, id: u64, now: Instant) -> Vec<Action>;

    /// Refuses waiting calls that can't start before their deadline any more.
    /// To be called often against the length of deadlines.
    fn tick(&mut self, now: Instant) -> Vec<Action>;

    /// Changes the node's share of the capacity, in tokens at once or calls at once.
    fn set_capacity(&mut self, capacity: u64, now: Instant) -> Vec<Action>;
}
