//! A plain service, which answers each call with its method, path and body.

mod handler;
mod state;

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

pub use state::State;

use crate::thread::{Control, Thread};

/// A running plain service, which stops when it is dropped.
#[derive(Debug)]
pub struct PlainService {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    thread: Thread,
}

impl PlainService {
    /// Starts a service on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or thread that can't be made.
    pub fn spawn(name: &str) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let handler_state = state.clone();
        let (address, thread) = Thread::serve(name, Arc::new(Control::default()), move |stop| {
            Rc::new(handler::Handler::new(handler_state.clone(), stop))
        })?;
        Ok(Self { state, address, thread })
    }

    /// Returns the address, which stays the same while the service is down.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Locks the state, in which faults are set and counts are read.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections and refuses new ones, or accepts them again.
    pub fn set_down(&self, down: bool) {
        self.thread.control().set_down(down);
    }

    /// Stops the service.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}
