//! One order to load weights, under the lease.

use std::rc::Rc;

use tamarackdock_config::deployment::Target;
use tamarackdock_lease::Deadline;
use tamarackdock_platform::table::{Commit, Write};
use tamarackdock_types::weight::Version;
use tamarackdock_weights::loader::{Input, Order};

use crate::{
    context::Context,
    engine::{LoadOrder, Loaded, order_load},
    lease,
};

/// Sends the order and returns its outcome. For an engine that does not check
/// epochs the order is recorded first.
pub(super) async fn send(
    context: Context,
    lease: lease::Handle,
    target: Rc<Target>,
    (order, version): (Order, Version),
) -> Input {
    let host = &context.settings.host;
    let load = LoadOrder {
        operation: format!("load-{host}-{}-{order}", target.name),
        epoch: order.epoch,
        service: target.service.clone(),
        version,
    };
    let outcome = if target.checks_epoch {
        let permit = || lease.permit() == Some(order.epoch);
        order_load(&context.pool, target.address, &load, permit).await
    } else {
        match record(&context, &lease, &target, &load).await {
            Some(deadline) => {
                let permit = || lease.permit_recorded(deadline) == Some(order.epoch);
                order_load(&context.pool, target.address, &load, permit).await
            }
            None => Loaded::Failed,
        }
    };
    let (name, input) = match outcome {
        Loaded::Done => ("loaded", Input::Loaded(order)),
        Loaded::Failed => ("failed", Input::Failed(order)),
        Loaded::Stale => ("stale", Input::Failed(order)),
        Loaded::Unknown => ("unknown", Input::Unknown(order)),
    };
    context.centres.metrics.loads.with_label_values(&[name]).inc();
    input
}

/// Records an order. Nothing is sent for a record whose outcome is unknown.
async fn record(
    context: &Context,
    lease: &lease::Handle,
    target: &Target,
    load: &LoadOrder,
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
