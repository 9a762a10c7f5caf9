use std::{collections::BTreeMap, rc::Rc};

use tamarackdock_admit::{Admission, Fair, Fixed, Level, fair};
use tamarackdock_config::settings;
use tamarackdock_types::ServiceName;

use crate::active::Active;

/// Weight of a new call in the moving average of tokens.
const SAMPLE_WEIGHT: f64 = 0.05;
const INITIAL_AVERAGE_TOKENS: f64 = 64.0;
/// Largest number of tokens that is counted for a call, as a multiple of the average.
const MAX_SIZE_RATIO: f64 = 4.0;
/// Bound of the ratio between a call's cost and the average cost, upwards and downwards.
const MAX_COST_RATIO: u64 = 4;
/// Cost of an average call, which takes one of the targets' concurrent calls.
pub(super) const AVERAGE_COST: u64 = 100;
/// Concurrent calls of each queue under the fixed baseline policy.
const FIXED_CONCURRENCY_LIMIT: usize = 256;

/// Identifies the queue of calls that compete for the same targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    pub(super) service: ServiceName,
    /// [`Level::App`] for calls of both levels if a service has no training
    /// targets.
    pub(super) level: Level,
}

/// The admission queues, created when first used.
pub(super) struct Queues {
    policy: settings::Admission,
    active: Rc<Active>,
    by_key: BTreeMap<QueueKey, Queue>,
}

/// An admission queue and the call size by which costs are computed.
pub(super) struct Queue {
    pub(super) admission: Box<dyn Admission>,
    /// Moving average of the tokens of a call.
    average_tokens: f64,
}

impl Queue {
    /// Returns the cost of a call relative to [`AVERAGE_COST`], and updates the
    /// average. The cost is relative, so that running calls don't exceed the
    /// capacity when the average falls. It is bounded, since few calls generate
    /// all tokens that they may.
    pub(super) fn cost(&mut self, tokens: u32) -> u64 {
        let tokens = f64::from(tokens).min(MAX_SIZE_RATIO * self.average_tokens);
        self.average_tokens =
            (self.average_tokens + SAMPLE_WEIGHT * (tokens - self.average_tokens)).max(1.0);
        scale_cost(tokens / self.average_tokens).max(AVERAGE_COST / MAX_COST_RATIO)
    }
}

/// Multiplies the average cost by a ratio.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "ratios are positive and small"
)]
fn scale_cost(ratio: f64) -> u64 {
    (ratio * AVERAGE_COST as f64) as u64
}

impl Queues {
    pub(super) fn new(policy: settings::Admission) -> Self {
        Self { policy, active: Rc::default(), by_key: BTreeMap::new() }
    }

    /// Applies a configuration. If an account was added, removed or got another
    /// weight, drops all queues and returns their keys.
    pub(super) fn configure(&mut self, active: &Rc<Active>) -> Vec<QueueKey> {
        let previous = std::mem::replace(&mut self.active, active.clone());
        if options(&previous) == options(active) {
            return Vec::new();
        }
        std::mem::take(&mut self.by_key).into_keys().collect()
    }

    /// Returns the keys of the queues that exist.
    pub(super) fn keys(&self) -> Vec<QueueKey> {
        self.by_key.keys().cloned().collect()
    }

    /// Returns a queue, which is created if it doesn't exist.
    pub(super) fn queue(&mut self, key: &QueueKey) -> &mut Queue {
        let (policy, active) = (self.policy, self.active.clone());
        self.by_key.entry(key.clone()).or_insert_with(|| Queue {
            admission: match policy {
                settings::Admission::Fair => Box::new(Fair::new(options(&active))),
                settings::Admission::Fixed => Box::new(Fixed::new(FIXED_CONCURRENCY_LIMIT)),
            },
            average_tokens: INITIAL_AVERAGE_TOKENS,
        })
    }
}

fn options(active: &Active) -> fair::Options {
    let weights = active.deployment.accounts.iter();
    fair::Options {
        weights: weights.map(|account| (account.name.clone(), account.weight)).collect(),
        ..fair::Options::default()
    }
}
