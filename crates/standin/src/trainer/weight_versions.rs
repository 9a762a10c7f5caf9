use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use tamarackdock_types::weight::Version;

/// The newest weight versions, shared between threads. The publisher of weights sets
/// the published version when it publishes them, and the known version, from which
/// staleness counts, only when the nodes can know of them.
#[derive(Debug, Clone, Default)]
pub struct WeightVersions(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    known: AtomicU64,
    published: AtomicU64,
}

impl WeightVersions {
    /// Makes a value whose known and published version are both the given one.
    #[must_use]
    pub fn new(version: Version) -> Self {
        let versions = Self::default();
        versions.publish(version);
        versions.set_known(version);
        versions
    }

    /// Raises the newest version that exists. Samples must not name a later one.
    pub fn publish(&self, version: Version) {
        self.0.published.fetch_max(version.0, Ordering::SeqCst);
    }

    /// Raises the newest version that nodes know, from which staleness counts.
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
