//! Sends an order to load weights, under the lease.

use std::rc::Rc;

use tamarackdock_config::deployment::Target;
use tamarackdock_lease::Deadline;
use tamarackdock_platform::table::{Commit, Write};
use tamarackdock_types::weight::Version;
use tamarackdock_weights::loader::{Input, OrderId};

use crate::{
    context::Context,
    engine::{LoadOutcome, WeightLoadOrder, order_weight_load},
    lease,
};

/// Sends an order and returns its outcome. If the engine does not check epochs,
/// the order is first recorded in the table.
pub(super) async fn send(
    context: Context,
    lease: lease::Handle,
    target: Rc<Target>,
    (order, version): (OrderId, Version),
) -> Input {
    let host = &context.settings.host;
    let load = WeightLoadOrder {
        operation: format!("load-{host}-{}-{order}", target.name),
        epoch: order.epoch,
        service: target.service.clone(),
        version,
    };
    let outcome = if target.checks_epoch {
        let permit = || lease.permit() == Some(order.epoch);
        order_weight_load(&context.pool, target.address, &load, permit).await
    } else {
        match record(&context, &lease, &target, &load).await {
            Some(deadline) => {
                let permit = || lease.permit_recorded(deadline) == Some(order.epoch);
                order_weight_load(&context.pool, target.address, &load, permit).await
            }
            None => LoadOutcome::Failed,
        }
    };
    let (name, input) = match outcome {
        LoadOutcome::Done => ("loaded", Input::Loaded(order)),
        LoadOutcome::Failed => ("failed", Input::Failed(order)),
        LoadOutcome::Stale => ("stale", Input::Failed(order)),
        LoadOutcome::Unknown => ("unknown", Input::Unknown(order)),
    };
    context.data_centres.metrics.weight_loads.with_label_values(&[name]).inc();
    input
}

/// Records an order and returns its send deadline. If it is unknown whether the
/// record was written, the result is `None`, and the order must not be sent.
async fn record(
    context: &Context,
    lease: &lease::Handle,
    target: &Target,
    load: &WeightLoadOrder,
) -> Option<Deadline> {
    let deadline = lease.record().filter(|deadline| deadline.epoch == load.epoch)?;
    let value = serde_json::json!({
        "load": load, "target": target.name, "deadline_ms": deadline.until.as_millis(),
    });
    let commit = Commit {
        operation: load.operation.clone(),
        conditions: vec![lease.fence()?],
        writes: vec![Write {
            key: format!("order/{}/load-{}", target.data_centre, target.name),
            value: Some(value.to_string()),
        }],
    };
    context.platform.table.commit(commit).await.ok()?;
    Some(deadline)
}
