//! Order in which targets load weight versions, and the number that load at once.
//!
//! The intended load is several trainers that publish versions at the same time and share loads
//! that are slower the more of them run. In the order of the targets' ids, one trainer gets all
//! loads of a wave and another one waits for several waves. Here the model with the fewest usable
//! targets for its demand comes first, so that all trainers have their first targets after one
//! wave. See `docs/design/weight-loads.md`.

mod backlog;
mod finished;
mod load;
mod model;
mod need;
mod pace;
mod share;
mod target;

use std::{cmp::Reverse, collections::BTreeMap, rc::Rc};

pub use backlog::{Backlog, Candidate};
pub use finished::Finished;
pub use load::Load;
pub use model::Model;
pub use need::{Need, needs};
pub use pace::{Pace, ceiling};
pub use share::shares;
pub use target::{State, Target};

/// Name of a target or model.
pub type Name = Rc<str>;

/// Returns the loads that are due, most urgent first, at most `room`.
///
/// Models with an open step that no target has or loads the weights for come first, then those
/// whose usable targets, up to date or loading, are the smallest fraction of their share of the
/// demand. Of models that are equal in this, that with the lower rank comes first. Within a model,
/// targets that the next step can't use come first.
#[must_use]
pub fn due(targets: &[Target], models: &BTreeMap<Name, Model>, room: usize) -> Vec<Load> {
    let demand = models.iter().map(|(name, model)| (name.clone(), model.demand)).collect();
    let shares = shares(targets.len(), &demand);
    let backlog = Backlog::new(targets, |name| models.get(name).map(|model| model.published));
    backlog.loads(room, |candidate| {
        let model = &models[candidate.model];
        let is_blocked = model.is_blocked(candidate.newest_expected);
        let share = shares.get(candidate.model).copied().unwrap_or(1.0);
        let fraction = Fraction::new(candidate.usable, share);
        (Reverse(is_blocked), fraction, model.rank, candidate.model.clone())
    })
}

/// A fraction that is not negative, as a key to sort by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fraction(u64);

impl Fraction {
    /// The bits of floating-point numbers that are not negative have the order of the numbers.
    #[allow(clippy::cast_precision_loss)]
    fn new(count: usize, of: f64) -> Self {
        Self((count as f64 / of).to_bits())
    }
}
