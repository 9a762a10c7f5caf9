use std::{collections::BTreeMap, rc::Rc};

use tamarackdock_admit::{Admission, Fair, Fixed, Level, fair};
use tamarackdock_config::settings;
use tamarackdock_types::ServiceName;

use crate::active::Active;

/// Weight of a new call in the moving average of call sizes.
const SIZE_WEIGHT: f64 = 0.05;
const FIRST_SIZE: f64 = 64.0;
/// Largest size of a call in averages.
const MAX_SIZES: f64 = 4.0;
/// Largest and inverse of the smallest cost of a call in averages.
const MAX_COST_RATIO: u64 = 4;
/// Cost of an average call, for which one place is counted.
pub(super) const AVERAGE_COST: u64 = 100;
/// Calls at once of the baseline, for each lane.
const FIXED_LIMIT: usize = 256;

/// Calls that wait for the same targets.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane {
    pub(super) service: ServiceName,
    /// [`Level::App`] also stands for both levels where a service has no
    /// training targets.
    pub(super) level: Level,
}

/// One admission for each lane.
pub(super) struct Pools {
    policy: settings::Admission,
    active: Rc<Active>,
    by_lane: BTreeMap<Lane, Pool>,
}

pub(super) struct Pool {
    pub(super) admission: Box<dyn Admission>,
    /// Moving average of a call's tokens.
    size: f64,
}

impl Pool {
    /// Returns what a call costs, in parts of an average call. The cost is
    /// relative, so that calls that run on don't exceed the capacity when the
    /// average falls, and bounded, since few calls use all tokens that they may.
    pub(super) fn cost(&mut self, tokens: u32) -> u64 {
        let tokens = f64::from(tokens).min(MAX_SIZES * self.size);
        self.size = (self.size + SIZE_WEIGHT * (tokens - self.size)).max(1.0);
        scaled(tokens / self.size).max(AVERAGE_COST / MAX_COST_RATIO)
    }
}

/// Returns a multiple of the average cost.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "ratios are positive and small"
)]
fn scaled(ratio: f64) -> u64 {
    (ratio * AVERAGE_COST as f64) as u64
}

impl Pools {
    pub(super) fn new(policy: settings::Admission) -> Self {
        Self { policy, active: Rc::default(), by_lane: BTreeMap::new() }
    }

    /// Takes a configuration and returns the lanes whose queues began anew,
    /// since an account's share changed.
    pub(super) fn configure(&mut self, active: &Rc<Active>) -> Vec<Lane> {
        let former = std::mem::replace(&mut self.active, active.clone());
        if options(&former) == options(active) {
            return Vec::new();
        }
        std::mem::take(&mut self.by_lane).into_keys().collect()
    }

    /// Returns the lanes that have been used.
    pub(super) fn lanes(&self) -> Vec<Lane> {
        self.by_lane.keys().cloned().collect()
    }

    pub(super) fn pool(&mut self, lane: &Lane) -> &mut Pool {
        let (policy, active) = (self.policy, self.active.clone());
        self.by_lane.entry(lane.clone()).or_insert_with(|| Pool {
            admission: match policy {
                settings::Admission::Fair => Box::new(Fair::new(options(&active))),
                settings::Admission::Fixed => Box::new(Fixed::new(FIXED_LIMIT)),
            },
            size: FIRST_SIZE,
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
