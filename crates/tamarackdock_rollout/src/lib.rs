//! Steps of trainers: requests, slots, samples, the manifest and the state
//! machine that the holder of a step runs. See `docs/design.md`, section 6.
//! The modules [`finish`] and [`share`] hold decisions that the gateway uses as well.

pub mod attempt;
pub mod finish;
pub mod manifest;
pub mod policy;
pub mod request;
pub mod sample;
pub mod share;
pub mod slot;
pub mod span;
pub mod step;
