use tamarackdock_types::clock::Instant;

use crate::attempt::Attempt;

/// A running attempt that is the only one of its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Straggler {
    /// Id by which [`Policy::hedge`](super::Policy::hedge) returns it.
    pub attempt: Attempt,
    /// Start time of the attempt.
    pub started: Instant,
    /// Largest count of tokens that a second attempt could generate.
    pub remaining: u64,
}

/// The state of a step on which the start of second attempts depends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HedgeState {
    /// Number of further attempts that the targets could run at once.
    pub idle_capacity: usize,
    /// Number of slots without a sample and without an attempt.
    pub open_slots: usize,
    /// Tokens of all samples that this holder has accepted.
    pub accepted_tokens: u64,
    /// Tokens that were generated twice, plus those that running second
    /// attempts may still generate.
    pub duplicated_tokens: u64,
    /// Running attempts whose slot has no other one.
    pub stragglers: Vec<Straggler>,
}
