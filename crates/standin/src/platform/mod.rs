//! In-memory implementation of the platform. See `docs/platform.md`.

mod faults;
mod handler;
mod hosts;
mod orders;
mod rates;
mod state;
mod table;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

pub use faults::Faults;
pub use hosts::HostList;
pub use orders::{Orders, ReceivedOrder};
pub use rates::Rates;
pub use state::State;
pub use table::Table;

use crate::thread::{Control, Thread};

/// A running platform. Each group of callers has its own address, so that
/// one group, such as a data centre, can be cut off.
#[derive(Debug)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    groups: BTreeMap<String, (SocketAddr, Thread)>,
}

impl Platform {
    /// Starts a platform with one address for each group of callers. The seed decides
    /// which writes lose their response at random.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket or thread that can't be made.
    pub fn spawn(seed: u64, groups: &[&str]) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::new(seed)));
        let mut platform = Self { state, groups: BTreeMap::new() };
        for group in groups {
            let state = platform.state.clone();
            let control = Arc::new(Control::default());
            let listener = Thread::serve(&format!("platform {group}"), control, move |stop| {
                Rc::new(handler::Handler::new(state.clone(), stop))
            })?;
            platform.groups.insert((*group).into(), listener);
        }
        Ok(platform)
    }

    /// Returns a group's address, or `None` for a group that was not declared.
    #[must_use]
    pub fn address(&self, group: &str) -> Option<SocketAddr> {
        Some(self.groups.get(group)?.0)
    }

    /// Cuts a group off or reconnects it. While a group is cut off, its connections are
    /// closed and new ones refused.
    pub fn set_cut_off(&self, group: &str, is_cut_off: bool) {
        if let Some((_, thread)) = self.groups.get(group) {
            thread.control().set_down(is_cut_off);
        }
    }

    /// Takes the platform down for all groups or brings it back.
    pub fn set_down(&self, down: bool) {
        for group in self.groups.keys() {
            self.set_cut_off(group, down);
        }
    }

    /// Locks the state, in which faults are set and records are read.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops all listeners.
    pub fn stop(&mut self) {
        self.groups.clear();
    }
}
