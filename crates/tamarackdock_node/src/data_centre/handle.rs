use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use tamarackdock_types::DataCentreName;

use super::metrics::Metrics;
use crate::{lease, telemetry};

const RELEASE_WAIT: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The lease of a data centre's task and the state that it shows to operators.
pub(super) struct Entry {
    pub(super) lease: lease::Handle,
    pub(super) state: serde_json::Value,
}

/// The leases of all data centres, shared by the tasks of a thread.
#[derive(Clone)]
pub(crate) struct Handle {
    pub(super) entries: Rc<RefCell<BTreeMap<DataCentreName, Entry>>>,
    pub(super) metrics: Rc<Metrics>,
}

impl Handle {
    /// Creates a handle without data centres and registers its metrics.
    pub(crate) fn new(metrics: &telemetry::Metrics) -> prometheus::Result<Self> {
        Ok(Self { entries: Rc::default(), metrics: Rc::new(Metrics::new(metrics)?) })
    }

    /// Releases all leases. No order is sent after that.
    pub(crate) fn release(&self) {
        self.entries.borrow().values().for_each(|entry| entry.lease.release());
    }

    /// Waits until the leases are free for other nodes, for at most 2 s.
    pub(crate) async fn wait_until_released(&self) {
        let all_idle = async {
            while !self.entries.borrow().values().all(|entry| entry.lease.is_idle()) {
                monoio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let _ = monoio::time::timeout(RELEASE_WAIT, all_idle).await;
    }

    /// Returns the state of each data centre as JSON, for operators.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let entries = self.entries.borrow();
        entries.iter().map(|(name, entry)| (name.to_string(), entry.state.clone())).collect()
    }
}
