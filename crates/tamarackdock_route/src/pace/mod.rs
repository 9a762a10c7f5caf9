//! What a host learns of the pace of targets from their responses, as state machines without
//! clock, socket or random source. Part D and the paragraph on silence of part C of
//! `docs/design/hard-load.md` specify it.
//!
//! The intended load is batch items that are streamed for some seconds each, on engines of which
//! several fall silent, restart or load weights at the same time, while no deployment setting says
//! how fast any of them is. Thirty hosts may wait for the same target.

mod first_event;
mod ramp;
mod silence;
mod stall;
mod turn;

#[cfg(test)]
mod tests;

pub use first_event::{FirstEvents, LONGEST_TIMEOUT, SHORTEST_TIMEOUT};
pub use ramp::{Cause, Pace, Running};
pub use silence::{Contact, Patience, Verdict, Wait};
pub use stall::{LONGEST_STALL, stall_timeout};
pub use turn::Turn;
