//! An app that sends short questions to nodes and checks each answer.

mod answer;
mod options;
mod questions;
mod records;

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
};

pub use options::Options;
pub use records::Records;

use crate::thread::Thread;

/// A running app, which stops when it is dropped.
#[derive(Debug)]
pub struct App {
    records: Arc<Mutex<Records>>,
    thread: Thread,
}

impl App {
    /// Starts an app.
    ///
    /// # Errors
    ///
    /// Returns the error of the thread that can't be made.
    pub fn spawn(options: Options) -> io::Result<Self> {
        let records = Arc::new(Mutex::new(Records::default()));
        let theirs = records.clone();
        let thread = Thread::run(&options.name.clone(), move |switches| {
            questions::run(options, theirs, switches)
        })?;
        Ok(Self { records, thread })
    }

    /// Reads the records.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether all questions were asked or the app was stopped.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the app; calls in progress are broken off.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}
