//! Autoscaling: orders of the number of targets in each data centre.
//!
//! The intended load is steps of trainers that end with their longest items. An
//! item runs faster the fewer others its target runs, so targets are ordered until
//! the items of the open steps use only a part of the slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use monoio::time::sleep;
use tamarackdock_types::clock::{BootClock, Clock, Instant};

use super::usage::send;
use crate::{
    deployment::{Name, Scaling},
    node::Node,
};

/// Share of a target's slots that the items of the open steps should use.
const SLOT_SHARE: f64 = 0.8;
/// Time between checks of the demand.
const INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an order that was refused or got no answer.
const RETRY_PAUSE: Duration = Duration::from_secs(3);
/// Time for which the demand must be lower before the number of targets is reduced.
const SHRINK_AFTER: Duration = Duration::from_mins(1);

/// Returns the number of targets to order in each data centre for a number of items
/// that run at once. The remainder of an even split goes to cheaper data centres.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn wanted_targets(
    items: u64,
    slots: u32,
    scaling: &Scaling,
    data_centres: &BTreeSet<Name>,
) -> BTreeMap<Name, u32> {
    let per_target = (f64::from(slots) * SLOT_SHARE).max(1.0);
    let total = (items as f64 / per_target).ceil() as u32;
    let count = u32::try_from(data_centres.len()).unwrap_or(u32::MAX).max(1);
    let (each, mut remainder) = (total / count, total % count);
    let price = |name: &Name| scaling.prices.get(&**name).copied().unwrap_or(1.0);
    let mut by_price: Vec<&Name> = data_centres.iter().collect();
    by_price.sort_by(|left, right| price(left).total_cmp(&price(right)));
    let mut wanted = BTreeMap::new();
    for name in by_price {
        let extra = u32::from(remainder > 0);
        remainder = remainder.saturating_sub(extra);
        wanted.insert(name.clone(), (each + extra).clamp(scaling.min, scaling.max));
    }
    wanted
}

/// Orders that the holder of the duties has sent, by service and data centre.
#[derive(Debug, Default)]
struct OrderState {
    /// Number of targets by the last accepted order.
    targets: BTreeMap<(Name, Name), u32>,
    /// Earliest time of the next order after a failed one.
    not_before: BTreeMap<(Name, Name), Instant>,
    /// Since when fewer targets are wanted than were ordered.
    lower_since: BTreeMap<(Name, Name), Instant>,
}

/// Orders targets at intervals while this node holds the duties. Never returns.
pub(crate) async fn run(node: Rc<Node>) {
    let mut ordered = OrderState::default();
    loop {
        sleep(INTERVAL).await;
        if node.duties.permit().is_none() {
            ordered = OrderState::default();
            continue;
        }
        for (service, wanted) in plan(&node) {
            for (data_centre, targets) in wanted {
                let key = (service.clone(), data_centre);
                if ordered.is_due(&key, targets, BootClock.now()) {
                    order(&node, &mut ordered, key, targets).await;
                }
            }
        }
    }
}

impl OrderState {
    /// Returns whether an order for a number of targets must be sent now.
    fn is_due(&mut self, key: &(Name, Name), targets: u32, now: Instant) -> bool {
        if self.not_before.get(key).is_some_and(|at| now < *at) {
            return false;
        }
        match self.targets.get(key) {
            Some(known) if *known == targets => {
                self.lower_since.remove(key);
                false
            }
            Some(known) if *known > targets => {
                let since = *self.lower_since.entry(key.clone()).or_insert(now);
                now.since(since) > SHRINK_AFTER
            }
            _ => true,
        }
    }
}

/// Returns the wanted number of targets by data centre, for each service with items to
/// run whose targets can be ordered.
fn plan(node: &Node) -> Vec<(Name, BTreeMap<Name, u32>)> {
    let deployment = node.view.deployment();
    let targets = node.view.targets.borrow();
    let evacuated = node.view.evacuated.borrow();
    let mut plans = Vec::new();
    for (name, service) in &deployment.services {
        let Some(scaling) = &service.scaling else { continue };
        let items = node.jobs.item_count(&service.models);
        let own = || targets.iter().map(|t| &t.registration).filter(|t| t.service == *name);
        let slots = own().map(|target| target.slots).max().unwrap_or_default();
        let data_centres: BTreeSet<Name> = own()
            .map(|target| target.data_centre.clone())
            .filter(|data_centre| !evacuated.contains(data_centre))
            .collect();
        if items > 0 && slots > 0 {
            plans.push((name.clone(), wanted_targets(items, slots, scaling, &data_centres)));
        }
    }
    plans
}

/// Sends an order and records the outcome.
async fn order(node: &Rc<Node>, ordered: &mut OrderState, key: (Name, Name), targets: u32) {
    let Some(sender) = node.duties.permit() else { return };
    let Some(address) = node.settings().orders else { return };
    let message = node.wire_format.scale(&key.0, &key.1, targets, false, &sender);
    let status = send(node, address, &message).await;
    slog::info!(node.log, "scale: order finished"; "service" => &*key.0, "data_centre" => &*key.1,
        "targets" => targets, "status" => status, "epoch" => sender.epoch);
    let outcome = if status == Some(200) { "accepted" } else { "failed" };
    node.metrics.orders.with_label_values(&["scale", outcome]).inc();
    match status {
        Some(200) => {
            ordered.targets.insert(key, targets);
        }
        _ => {
            ordered.not_before.insert(key, BootClock.now() + RETRY_PAUSE);
        }
    }
}
