use std::{rc::Rc, time::Duration};

use tamarackdock_config::{
    Deployment,
    accept::{Accepted, Rejection},
    version::Number,
};
use tamarackdock_types::refusal::Refusal;

use super::{Service, refusal};

/// How long a change is repeated while others win on the same base.
const RETRY_FOR: Duration = Duration::from_secs(5);

impl Service {
    /// Submits a whole configuration on behalf of an operator.
    pub(crate) async fn replace(
        self: &Rc<Self>,
        operation: Option<String>,
        base: Number,
        deployment: Deployment,
    ) -> Result<Accepted, Refusal> {
        let operation = operation.unwrap_or_else(|| self.operation());
        let result = self.submit(operation, base, deployment).await;
        result.map_err(|rejection| refusal::of_rejection(&rejection))
    }

    /// Changes the newest version, again if another change was accepted first.
    /// A change without effect is answered with the newest version, which is read
    /// from the store, since this node may be behind.
    pub(crate) async fn edit(
        self: &Rc<Self>,
        change: impl Fn(&mut Deployment) -> Result<(), Refusal>,
    ) -> Result<Accepted, Refusal> {
        let deadline = monoio::time::Instant::now() + RETRY_FOR;
        loop {
            self.catch_up().await.map_err(|_| refusal::store_unavailable())?;
            let base = self.active();
            let mut deployment = base.deployment().clone();
            change(&mut deployment)?;
            if deployment == *base.deployment() {
                return Ok(Accepted { number: base.number(), checksum: base.checksum() });
            }
            match self.submit(self.operation(), base.number(), deployment).await {
                Err(Rejection::Conflict { .. }) if monoio::time::Instant::now() < deadline => {}
                result => return result.map_err(|error| refusal::of_rejection(&error)),
            }
        }
    }

    /// Makes an operation id that no other node and no other start of this one makes.
    fn operation(&self) -> String {
        format!("{}-{:032x}", self.context.settings.host, rand::random::<u128>())
    }
}
