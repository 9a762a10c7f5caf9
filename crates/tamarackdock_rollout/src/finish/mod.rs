//! Expected ends of items and steps, and the decisions that follow from them: on which target
//! a waiting item starts, and which runs move to another one.
//!
//! The load that this is made for is a trainer's step of about 200 items, of which a few are
//! much longer than the others and decide when the step ends. A step has 0.2 s to spare, and
//! targets differ in speed by a factor of two or become slower for seconds. The items that
//! decide the end start on the fast targets. A run moves only where this ends its step sooner,
//! because a move costs a connection. All times are milliseconds from the present. See
//! `docs/design/placement.md`.

mod assign;
mod moves;
mod speed;
mod step;
mod target;

pub use assign::{Waiting, assign};
pub use moves::{MAX_MOVES, MIN_GAIN_MS, Move, Reason, Run, RunningStep, plan};
pub use speed::{MIN_SAMPLES, Speed, usual_ms};
pub use step::{Group, step_end_ms};
pub use target::Target;

#[cfg(test)]
mod tests;
