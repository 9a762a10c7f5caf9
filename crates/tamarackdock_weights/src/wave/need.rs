use std::collections::BTreeMap;

use derive_more::Display;

use super::{Backlog, Model, Name, Target};

/// What a model has and waits for, for logs.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{model} v{published}: {usable} of {targets}{}", if *is_blocked { ", a step waits" } else { "" })]
pub struct Need {
    /// Name of the model.
    pub model: Name,
    /// Newest published version.
    pub published: u64,
    /// Targets that are up to date or loading.
    pub usable: usize,
    /// Targets of the model.
    pub targets: usize,
    /// Whether an open step waits for weights that no target has or loads.
    pub is_blocked: bool,
}

/// Returns the needs of the models that have targets.
#[must_use]
pub fn needs(targets: &[Target], models: &BTreeMap<Name, Model>) -> Vec<Need> {
    Backlog::new(targets, |name| models.get(name).map(|model| model.published)).needs(models)
}
