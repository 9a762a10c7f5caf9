//! A model engine with continuous batching. See `docs/platform.md`.

mod cache;
mod generation;
mod handler;
mod load;
mod options;
mod records;
mod request;
mod response;
mod silence;
mod slots;
mod state;
pub(crate) mod text;

use std::{
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex},
};

pub use load::EngineLoad;
pub use options::Options;
pub use records::Records;
pub use request::Priority;
pub use text::{expected_text, expected_token_ids};

use state::{State, lock};

use crate::thread::{Control, Thread};

/// A running engine, which stops when it is dropped.
#[derive(Debug)]
pub struct Engine {
    state: Arc<Mutex<State>>,
    address: SocketAddr,
    thread: Thread,
}

impl Engine {
    /// Starts an engine on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or thread that can't be made.
    pub fn spawn(options: Options) -> io::Result<Self> {
        let name = options.name.clone();
        let control = Arc::new(Control::default());
        let state = Arc::new(Mutex::new(State::new(options, control.clone())));
        let handler_state = state.clone();
        let (address, thread) = Thread::serve(&name, control, move |stop| {
            Rc::new(handler::Handler::new(handler_state.clone(), stop))
        })?;
        Ok(Self { state, address, thread })
    }

    /// Returns the address, which stays the same when the engine restarts.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls a function with the records, which are locked meanwhile.
    pub fn read<T>(&self, read: impl FnOnce(&Records) -> T) -> T {
        read(&lock(&self.state).records)
    }

    /// Changes options while the engine runs. Changes of `cache_blocks` have no effect;
    /// a new `seed` does not change which loads of weights fail.
    pub fn configure(&self, change: impl FnOnce(&mut Options)) {
        change(&mut lock(&self.state).options);
    }

    /// Returns the current load, without the lag of `GET /load`.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        lock(&self.state).load()
    }

    /// Crashes the engine: closes all connections and refuses new ones until
    /// [`Engine::restart`].
    pub fn crash(&self) {
        lock(&self.state).crash();
    }

    /// Returns whether the engine has crashed and was not restarted.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.thread.control().is_down()
    }

    /// Starts a crashed engine again, cold and with a new restart id.
    pub fn restart(&self) {
        self.thread.control().set_down(false);
    }

    /// Makes the engine cold without a restart, and empties its cache.
    pub fn make_cold(&self) {
        lock(&self.state).make_cold();
    }

    /// Makes the engine warm at once.
    pub fn make_warm(&self) {
        lock(&self.state).make_warm();
    }

    /// Sends nothing more on connections on which a request arrived so far, and keeps them
    /// open. New connections work.
    pub fn silence_existing(&self) {
        lock(&self.state).silence.silence_existing();
    }

    /// Keeps all connections open and accepts new ones, but sends nothing on any of them;
    /// with `false`, ends this.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.state).silence.set_all(silent);
    }

    /// Stops the engine.
    pub fn stop(&mut self) {
        self.thread.stop();
    }
}
