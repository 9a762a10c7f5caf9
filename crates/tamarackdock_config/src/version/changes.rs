use serde::{Deserialize, Serialize};

use super::section::Section;
use crate::deployment::{Account, DataCentre, Deployment, Limits, Service, Target, Trainer};

/// The changes between two versions of a configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Changes of the services.
    pub services: Section<Service>,
    /// Changes of the client accounts.
    pub accounts: Section<Account>,
    /// Changes of the trainers.
    pub trainers: Section<Trainer>,
    /// Changes of the data centres.
    pub data_centres: Section<DataCentre>,
    /// Changes of the targets.
    pub targets: Section<Target>,
    /// New limits, or `None` if they did not change.
    pub limits: Option<Limits>,
}

impl Changes {
    pub(crate) fn between(old: &Deployment, new: &Deployment) -> Self {
        Self {
            services: Section::between(&old.services, &new.services),
            accounts: Section::between(&old.accounts, &new.accounts),
            trainers: Section::between(&old.trainers, &new.trainers),
            data_centres: Section::between(&old.data_centres, &new.data_centres),
            targets: Section::between(&old.targets, &new.targets),
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
