use tamarackdock_types::clock::Instant;

use crate::attempt::Attempt;

/// An attempt in progress that is the only one of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Straggler {
    /// Attempt.
    pub attempt: Attempt,
    /// Time at which it started.
    pub started: Instant,
    /// Largest count of tokens that a second attempt could generate.
    pub remaining: u64,
}

/// The state of a step as far as second attempts depend on it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tail {
    /// Attempts that the targets could run at once in addition.
    pub idle: usize,
    /// Slots that wait for their first attempt.
    pub open: usize,
    /// Tokens of the samples taken so far.
    pub taken: u64,
    /// Tokens that were generated twice, and those that second attempts in
    /// progress may still generate.
    pub duplicated: u64,
    /// Attempts without a second one.
    pub stragglers: Vec<Straggler>,
}
