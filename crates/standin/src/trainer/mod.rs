//! A trainer that requests steps from nodes and checks every sample.

mod check;
mod options;
mod records;
mod sample;
mod step;
mod violation;
mod weight_versions;

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
};

pub use options::Options;
pub use records::Records;
pub use violation::Violation;
pub use weight_versions::WeightVersions;

use crate::thread::Thread;

/// A running trainer, which stops when it is dropped.
#[derive(Debug)]
pub struct Trainer {
    records: Arc<Mutex<Records>>,
    thread: Thread,
}

impl Trainer {
    /// Starts a trainer that runs its steps one after the other, and checks its samples
    /// against the given weight versions.
    ///
    /// # Errors
    ///
    /// Returns the error of the thread that can't be made.
    pub fn spawn(options: Options, weight_versions: WeightVersions) -> io::Result<Self> {
        let records = Arc::new(Mutex::new(Records::default()));
        let trainer_records = records.clone();
        let thread = Thread::run(&options.name.clone(), move |control| {
            step::run(options, weight_versions, trainer_records, control)
        })?;
        Ok(Self { records, thread })
    }

    /// Calls a function with the records, which are locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether all steps are done or the trainer was stopped.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the trainer and cancels its call in progress.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}
