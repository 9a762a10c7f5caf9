//! Limits that targets name in their answers: requests a second that a target in trouble
//! accepts from all nodes together.

use std::collections::BTreeMap;

use crate::{deployment::Name, target::Registration};

/// The limit that a run of a target named in its last answer.
#[derive(Debug, Clone, Copy, PartialEq)]
struct NamedLimit {
    /// Start of the run.
    started: Option<u64>,
    /// Requests a second.
    rate: f64,
}

/// The limits that this node has seen in answers.
#[derive(Debug, Default)]
pub(crate) struct NamedLimits(BTreeMap<Name, NamedLimit>);

impl NamedLimits {
    /// Records the limit in an answer of a target, or that an answer names none. Returns
    /// whether it differs from the one before.
    pub(crate) fn record(&mut self, target: &Registration, rate: Option<f64>) -> bool {
        let limit = rate.map(|rate| NamedLimit { started: target.started, rate });
        let known = match limit {
            Some(limit) => self.0.insert(target.id.clone(), limit),
            None => self.0.remove(&target.id),
        };
        known != limit
    }

    /// Removes the limits of targets that are not in use.
    pub(crate) fn sweep(&mut self, in_use: impl Fn(&str) -> bool) {
        self.0.retain(|target, _| in_use(target));
    }
}
