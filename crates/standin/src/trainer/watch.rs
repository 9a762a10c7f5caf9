use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tamarackdock_types::weight::Version;

/// The newest weight version, shared between threads. Whoever publishes
/// weights sets it, for staleness checks not before the nodes can know of it.
#[derive(Debug, Clone, Default)]
pub struct Watch(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    known: AtomicU64,
    published: AtomicU64,
}

impl Watch {
    /// Makes a watch at a version.
    #[must_use]
    pub fn new(version: Version) -> Self {
        let watch = Self::default();
        watch.publish(version);
        watch.set_known(version);
        watch
    }

    /// Sets the newest version that exists. Samples must not name a later one.
    pub fn publish(&self, version: Version) {
        self.0.published.fetch_max(version.0, Ordering::SeqCst);
    }

    /// Sets the newest version that nodes know. Staleness counts from it.
    pub fn set_known(&self, version: Version) {
        self.publish(version);
        self.0.known.fetch_max(version.0, Ordering::SeqCst);
    }

    /// Returns the newest version that nodes know.
    #[must_use]
    pub fn known(&self) -> Version {
        Version(self.0.known.load(Ordering::SeqCst))
    }

    /// Returns the newest version that exists.
    #[must_use]
    pub fn published(&self) -> Version {
        Version(self.0.published.load(Ordering::SeqCst))
    }
}
