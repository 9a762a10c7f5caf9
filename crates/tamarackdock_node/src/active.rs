//! The active configuration of a node, indexed for the lookups that calls make.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tamarackdock_config::{
    Deployment,
    deployment::{Account, Service, Target, Trainer},
};
use tamarackdock_types::{ServiceName, TrainerName, key::Hash};
use tamarackdock_wire::flag::Flag;

/// A valid key.
#[derive(Clone, Debug)]
pub struct Key {
    /// Account that the key belongs to.
    pub account: Rc<Account>,
    /// Set when the key is withdrawn, so that its calls in progress end.
    pub withdrawn: Flag,
}

/// One version of the configuration with its indexes.
#[derive(Debug, Default)]
pub struct Active {
    /// Number of the version; 0 before the first one.
    pub version: u64,
    /// Configuration as submitted.
    pub deployment: Rc<Deployment>,
    keys: HashMap<Hash, Key>,
    services: HashMap<ServiceName, Rc<Service>>,
    trainers: HashMap<TrainerName, Rc<Trainer>>,
    targets: Vec<Rc<Target>>,
}

impl Active {
    /// Indexes a version. A key that `previous` has under the same account keeps its flag; the
    /// flags of all other keys of `previous` are set.
    #[must_use]
    pub fn new(version: u64, deployment: Deployment, previous: &Self) -> Self {
        let accounts = deployment.accounts.iter().map(|account| Rc::new(account.clone()));
        let mut keys = HashMap::new();
        for account in accounts {
            for hash in &account.keys {
                let kept = previous.keys.get(hash).filter(|key| key.account.name == account.name);
                let withdrawn = kept.map(|key| key.withdrawn.clone()).unwrap_or_default();
                keys.insert(*hash, Key { account: account.clone(), withdrawn });
            }
        }
        for (hash, key) in &previous.keys {
            let kept = keys.get(hash).is_some_and(|new| new.account.name == key.account.name);
            if !kept {
                key.withdrawn.set();
            }
        }
        let services = deployment.services.iter();
        let trainers = deployment.trainers.iter();
        Self {
            version,
            keys,
            services: services.map(|s| (s.name.clone(), Rc::new(s.clone()))).collect(),
            trainers: trainers.map(|t| (t.name.clone(), Rc::new(t.clone()))).collect(),
            targets: deployment.targets.iter().map(|t| Rc::new(t.clone())).collect(),
            deployment: Rc::new(deployment),
        }
    }

    /// Returns the valid key with this hash.
    #[must_use]
    pub fn key(&self, hash: &Hash) -> Option<&Key> {
        self.keys.get(hash)
    }

    /// Returns a service by name, or `None` if it is not configured.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(&ServiceName::new(name).ok()?)
    }

    /// Returns a trainer by name, or `None` if it is not configured.
    #[must_use]
    pub fn trainer(&self, name: &str) -> Option<&Rc<Trainer>> {
        self.trainers.get(&TrainerName::new(name).ok()?)
    }

    /// Returns the configured targets in their order in the file.
    #[must_use]
    pub fn targets(&self) -> &[Rc<Target>] {
        &self.targets
    }
}

/// The active version of the configuration, shared by the tasks of a thread.
#[derive(Clone, Debug, Default)]
pub struct Watch(Rc<RefCell<Rc<Active>>>);

impl Watch {
    /// Returns the active version.
    #[must_use]
    pub fn get(&self) -> Rc<Active> {
        self.0.borrow().clone()
    }

    /// Activates a later version and returns whether it did. An earlier or equal one is
    /// ignored, since an accepted configuration never reverts.
    #[must_use]
    pub fn advance(&self, version: u64, deployment: Deployment) -> bool {
        let previous = self.get();
        if version <= previous.version {
            return false;
        }
        *self.0.borrow_mut() = Rc::new(Active::new(version, deployment, &previous));
        true
    }
}
