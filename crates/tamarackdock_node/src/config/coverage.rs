use std::time::Duration;

use serde::Serialize;
use tamarackdock_config::version::VersionNumber;
use tamarackdock_types::HostName;

use super::Service;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The nodes on which a version is active, and the live nodes on which it is not known to
/// be active.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Coverage {
    pub(crate) active_on: Vec<HostName>,
    pub(crate) missing: Vec<HostName>,
}

impl Service {
    /// Returns the nodes on which `version` or a later one is active.
    pub(crate) fn coverage(&self, version: VersionNumber) -> Coverage {
        let mut active_on = self.propagation().active_on(version);
        active_on.sort();
        let own = self.context.settings.host.clone();
        let live = self.context.peers.live().into_iter().map(|entry| entry.status.host);
        let all = live.chain([own]);
        let mut missing: Vec<_> = all.filter(|host| !active_on.contains(host)).collect();
        missing.sort();
        Coverage { active_on, missing }
    }

    /// Waits until `version` is active on all live nodes, for at most `timeout`, and returns
    /// the coverage reached.
    pub(crate) async fn await_coverage(
        &self,
        version: VersionNumber,
        timeout: Duration,
    ) -> Coverage {
        let deadline = monoio::time::Instant::now() + timeout;
        loop {
            let coverage = self.coverage(version);
            if coverage.missing.is_empty() || monoio::time::Instant::now() >= deadline {
                return coverage;
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
