//! How many targets each data centre should have.
//!
//! The load that this answers is steps of trainers whose end is decided by
//! their longest items. A run is the faster the fewer others its target has, so
//! that targets are ordered until a step's items use a part of the slots only.

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
/// Time between looks.
const INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an order that was refused or got no answer.
const RETRY_PAUSE: Duration = Duration::from_secs(3);
/// How long the demand must be lower before targets are given back.
const SHRINK_AFTER: Duration = Duration::from_mins(1);

/// Returns the number of targets by data centre for a number of items that
/// run at once. Cheaper data centres get the remainder.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
pub(crate) fn wanted(
    items: u64,
    slots: u32,
    scaling: &Scaling,
    data_centres: &BTreeSet<Name>,
) -> BTreeMap<Name, u32> {
    let per_target = (f64::from(slots) * SLOT_SHARE).max(1.0);
    let total = (items as f64 / per_target).ceil() as u32;
    let count = u32::try_from(data_centres.len()).unwrap_or(u32::MAX).max(1);
    let (each, mut rest) = (total / count, total % count);
    let price = |name: &Name| scaling.prices.get(&**name).copied().unwrap_or(1.0);
    let mut by_price: Vec<&Name> = data_centres.iter().collect();
    by_price.sort_by(|left, right| price(left).total_cmp(&price(right)));
    let mut wanted = BTreeMap::new();
    for name in by_price {
        let extra = u32::from(rest > 0);
        rest = rest.saturating_sub(extra);
        wanted.insert(name.clone(), (each + extra).clamp(scaling.min, scaling.max));
    }
    wanted
}

/// What the holder has ordered.
#[derive(Debug, Default)]
struct Ordered {
    targets: BTreeMap<(Name, Name), u32>,
    not_before: BTreeMap<(Name, Name), Instant>,
    lower_since: BTreeMap<(Name, Name), Instant>,
}

/// Orders targets for ever, while this node holds the duties.
pub(crate) async fn run(node: Rc<Node>) {
    let mut ordered = Ordered::default();
    loop {
        sleep(INTERVAL).await;
        if node.duties.permit().is_none() {
            ordered = Ordered::default();
            continue;
        }
        for (service, wanted) in plan(&node) {
            for (data_centre, targets) in wanted {
                let place = (service.clone(), data_centre);
                if ordered.is_due(&place, targets, BootClock.now()) {
                    order(&node, &mut ordered, place, targets).await;
                }
            }
        }
    }
}

impl Ordered {
    /// Returns whether an order is to be sent now.
    fn is_due(&mut self, place: &(Name, Name), targets: u32, now: Instant) -> bool {
        if self.not_before.get(place).is_some_and(|at| now < *at) {
            return false;
        }
        match self.targets.get(place) {
            Some(known) if *known == targets => {
                self.lower_since.remove(place);
                false
            }
            Some(known) if *known > targets => {
                let since = *self.lower_since.entry(place.clone()).or_insert(now);
                now.since(since) > SHRINK_AFTER
            }
            _ => true,
        }
    }
}

/// Returns the wanted targets of each service that can be ordered and has work.
fn plan(node: &Node) -> Vec<(Name, BTreeMap<Name, u32>)> {
    let deployment = node.beliefs.deployment();
    let targets = node.beliefs.targets.borrow();
    let evacuated = node.beliefs.evacuated.borrow();
    let mut plans = Vec::new();
    for (name, service) in &deployment.services {
        let Some(scaling) = &service.scaling else { continue };
        let items = node.jobs.items(&service.models);
        let own = || targets.iter().map(|t| &t.registration).filter(|t| t.service == *name);
        let slots = own().map(|target| target.slots).max().unwrap_or_default();
        let data_centres: BTreeSet<Name> = own()
            .map(|target| target.data_centre.clone())
            .filter(|data_centre| !evacuated.contains(data_centre))
            .collect();
        if items > 0 && slots > 0 {
            plans.push((name.clone(), wanted(items, slots, scaling, &data_centres)));
        }
    }
    plans
}

async fn order(node: &Rc<Node>, ordered: &mut Ordered, place: (Name, Name), targets: u32) {
    let Some(sender) = node.duties.permit() else { return };
    let Some(address) = node.settings().orders else { return };
    let message = node.dialect.scale(&place.0, &place.1, targets, false, &sender);
    let status = send(node, address, &message).await;
    slog::info!(node.log, "scale: order"; "service" => &*place.0, "data_centre" => &*place.1,
        "targets" => targets, "status" => status, "epoch" => sender.epoch);
    let outcome = if status == Some(200) { "accepted" } else { "failed" };
    node.metrics.orders.with_label_values(&["scale", outcome]).inc();
    match status {
        Some(200) => {
            ordered.targets.insert(place, targets);
        }
        _ => {
            ordered.not_before.insert(place, BootClock.now() + RETRY_PAUSE);
        }
    }
}
