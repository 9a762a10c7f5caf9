use serde::{Deserialize, Serialize};

use super::list_changes::ListChanges;
use crate::deployment::{Account, DataCentre, Deployment, Limits, Service, Target, Trainer};

/// The changes between two versions of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Changes of the services.
    pub services: ListChanges<Service>,
    /// Changes of the client accounts.
    pub accounts: ListChanges<Account>,
    /// Changes of the trainers.
    pub trainers: ListChanges<Trainer>,
    /// Changes of the data centres.
    pub data_centres: ListChanges<DataCentre>,
    /// Changes of the targets.
    pub targets: ListChanges<Target>,
    /// New limits, or `None` if they did not change.
    pub limits: Option<Limits>,
}

impl Changes {
    pub(crate) fn between(old: &Deployment, new: &Deployment) -> Self {
        Self {
            services: ListChanges::between(&old.services, &new.services),
            accounts: ListChanges::between(&old.accounts, &new.accounts),
            trainers: ListChanges::between(&old.trainers, &new.trainers),
            data_centres: ListChanges::between(&old.data_centres, &new.data_centres),
            targets: ListChanges::between(&old.targets, &new.targets),
            limits: (old.limits != new.limits).then(|| new.limits.clone()),
        }
    }

    pub(crate) fn apply(&self, old: &Deployment) -> Deployment {
        let mut new = old.clone();
        self.services.apply(&mut new.services);
        self.accounts.apply(&mut new.accounts);
        self.trainers.apply(&mut new.trainers);
        self.data_centres.apply(&mut new.data_centres);
        self.targets.apply(&mut new.targets);
        new.limits = self.limits.clone().unwrap_or(new.limits);
        new
    }
}
