use std::{rc::Rc, time::Duration};

use tamarackdock_config::{
    Deployment,
    accept::{Accepted, Rejection},
    version::VersionNumber,
};
use tamarackdock_types::refusal::Refusal;

use super::{Service, refusal};

/// How long [`Service::edit`] retries a change if other changes are accepted on the same base
/// first.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

impl Service {
    /// Submits a whole configuration on behalf of an operator. Without an operation id, one is
    /// generated.
    pub(crate) async fn replace(
        self: &Rc<Self>,
        operation: Option<String>,
        base: VersionNumber,
        deployment: Deployment,
    ) -> Result<Accepted, Refusal> {
        let operation = operation.unwrap_or_else(|| self.new_operation_id());
        let result = self.submit(operation, base, deployment).await;
        result.map_err(|rejection| refusal::for_rejection(&rejection))
    }

    /// Applies a change to the newest version, and again if another change was accepted
    /// first. The newest version is read from the store, since this node may be behind. If
    /// the change has no effect, that version is returned.
    pub(crate) async fn edit(
        self: &Rc<Self>,
        change: impl Fn(&mut Deployment) -> Result<(), Refusal>,
    ) -> Result<Accepted, Refusal> {
        let deadline = monoio::time::Instant::now() + RETRY_TIMEOUT;
        loop {
            self.catch_up().await.map_err(|_| refusal::store_unavailable())?;
            let base = self.active();
            let mut deployment = base.deployment().clone();
            change(&mut deployment)?;
            if deployment == *base.deployment() {
                return Ok(Accepted { number: base.number(), checksum: base.checksum() });
            }
            match self.submit(self.new_operation_id(), base.number(), deployment).await {
                Err(Rejection::Conflict { .. }) if monoio::time::Instant::now() < deadline => {}
                result => return result.map_err(|error| refusal::for_rejection(&error)),
            }
        }
    }

    /// Generates an operation id that is unique among all nodes and restarts.
    fn new_operation_id(&self) -> String {
        format!("{}-{:032x}", self.context.settings.host, rand::random::<u128>())
    }
}
