//! The decision before `wave`, kept as the baseline of comparisons.

use std::collections::BTreeMap;

use tamarackdock_weights::wave::{Load, Name, State, Target};

const LOADING_SHARE: f64 = 0.2;
const MIN_LOADING: usize = 2;

/// Returns the loads that are due when all models have published the same version.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn previous_loads(targets: &[Target], published: u64) -> Vec<Load> {
    let at_once = (targets.len() as f64 * LOADING_SHARE) as usize;
    let loading = targets.iter().filter(|target| target.state != State::Idle).count();
    let mut free_loads = at_once.max(MIN_LOADING).saturating_sub(loading);
    let mut candidates: Vec<(u64, &Target)> = Vec::new();
    let mut counts: BTreeMap<&Name, (usize, usize)> = BTreeMap::new();
    for target in targets {
        let lag = published.saturating_sub(target.version);
        let (up_to_date, total) = counts.entry(&target.model).or_default();
        *total += 1;
        if lag == 0 || target.state != State::Idle {
            *up_to_date += 1;
        } else {
            candidates.push((lag, target));
        }
    }
    candidates.sort_by_key(|(lag, target)| (std::cmp::Reverse(*lag), target.id.clone()));
    let mut due = Vec::new();
    for (lag, target) in candidates {
        let (up_to_date, total) = counts.entry(&target.model).or_default();
        let is_due = lag >= 2 || *up_to_date < total.div_ceil(2);
        if free_loads > 0 && is_due {
            free_loads -= 1;
            *up_to_date += 1;
            let (target, model) = (target.id.clone(), target.model.clone());
            due.push(Load { target, model, version: published });
        }
    }
    due
}
