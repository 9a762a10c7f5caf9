//! An app that sends short prompts, its questions, to nodes and checks each answer.

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
    /// Starts an app, which runs until all of its questions were asked.
    ///
    /// # Errors
    ///
    /// Returns the error of the thread that can't be made.
    pub fn spawn(options: Options) -> io::Result<Self> {
        let records = Arc::new(Mutex::new(Records::default()));
        let app_records = records.clone();
        let thread = Thread::run(&options.name.clone(), move |control| {
            questions::run(options, app_records, control)
        })?;
        Ok(Self { records, thread })
    }

    /// Calls a function with the records, which are locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether all questions were asked or the app was stopped.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Stops the app and cancels its calls in progress.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}
