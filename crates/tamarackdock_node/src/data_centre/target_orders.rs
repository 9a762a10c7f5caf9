use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_channel::mpsc;
use serde_json::json;
use slog::{Logger, info, warn};
use tamarackdock_config::{deployment::Target, settings::Spending};
use tamarackdock_lease::Deadline;
use tamarackdock_platform::{
    Error,
    order::{ListedTarget, Order},
};
use tamarackdock_spend::{
    Action, Elastic, Fixed, Input, Policy, Receiver, Reconciler, Settings, TargetCounts,
};
use tamarackdock_types::{
    DataCentreName, ServiceName,
    clock::{BootClock, Clock, Instant},
};

use super::{demand::Demand, engines::engines, message::Message};
use crate::{context::Context, lease};

const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two lists of the platform's targets, and between tries after a failure.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const ELASTIC_SETTINGS: Settings = Settings {
    buffer_percent: 30,
    min_served_percent: 90,
    scale_down_delay: Duration::from_mins(1),
    unavailable_backoff: Duration::from_secs(40),
};

struct Plan {
    reconciler: Reconciler,
    policy: Elastic,
    wanted: TargetCounts,
}

/// Plans and orders the targets of a data centre under one epoch, for each service of models.
pub(super) struct TargetOrders {
    context: Context,
    data_centre: DataCentreName,
    lease: lease::Handle,
    plans: BTreeMap<ServiceName, Plan>,
    next_plan: Instant,
    messages: mpsc::UnboundedSender<Message>,
    log: Logger,
}

impl TargetOrders {
    pub(super) fn new(
        context: &Context,
        data_centre: &DataCentreName,
        lease: lease::Handle,
        messages: mpsc::UnboundedSender<Message>,
        log: Logger,
    ) -> Self {
        Self {
            context: context.clone(),
            data_centre: data_centre.clone(),
            lease,
            plans: BTreeMap::new(),
            next_plan: Instant::default(),
            messages,
            log,
        }
    }

    /// Plans the targets when it is due. If the platform lists no targets in the data centre, none
    /// are ordered.
    pub(super) fn tick(&mut self) {
        let now = BootClock.now();
        if self.context.targets.is_ordered(&self.data_centre) && now >= self.next_plan {
            self.next_plan = now + PLAN_INTERVAL;
            let mut services: BTreeMap<ServiceName, Vec<Rc<Target>>> = BTreeMap::new();
            for engine in engines(&self.context, &self.data_centre) {
                services.entry(engine.service.clone()).or_default().push(engine);
            }
            for (service, engines) in services {
                self.plan(now, &service, &engines);
            }
        }
        let services: Vec<_> = self.plans.keys().cloned().collect();
        for service in &services {
            self.handle(service, Input::Tick);
        }
    }

    /// Passes an input to the reconciler of a service and performs its actions.
    pub(super) fn handle(&mut self, service: &ServiceName, input: Input) {
        let Some(plan) = self.plans.get_mut(service) else { return };
        let now = BootClock.now();
        let actions = self.lease.with_held(|held| plan.reconciler.step(now, held, input));
        for action in actions {
            self.perform(service, action);
        }
    }

    /// Returns the planned number of targets of each service as JSON, for operators.
    pub(super) fn dump(&self) -> serde_json::Value {
        let plan = |(service, plan): (&ServiceName, &Plan)| {
            let wanted = plan.wanted;
            let value = json!({"ordinary": wanted.ordinary, "cheap": wanted.cheap});
            (service.to_string(), value)
        };
        self.plans.iter().map(plan).collect()
    }

    fn plan(&mut self, now: Instant, service: &ServiceName, engines: &[Rc<Target>]) {
        let demand = Demand::measure(&self.context, &self.data_centre, engines);
        // The ordering interface does not tell whether it checks epochs, so each
        // order is recorded and must be sent before its deadline.
        let new = || Plan {
            reconciler: Reconciler::new(
                self.data_centre.clone(),
                Receiver::IgnoresEpoch,
                LIST_INTERVAL,
            )
            .for_service(service),
            policy: Elastic::new(ELASTIC_SETTINGS),
            wanted: TargetCounts::default(),
        };
        let plan = self.plans.entry(service.clone()).or_insert_with(new);
        let loads = BTreeMap::from([(self.data_centre.clone(), demand.load)]);
        let wanted = match self.context.settings.policy.spending {
            Spending::Elastic => plan.policy.plan(now, &loads),
            Spending::Fixed => Fixed(demand.pool_counts()).plan(now, &loads),
        };
        let wanted = wanted.get(&self.data_centre).copied().unwrap_or_default();
        plan.wanted = demand.fit_to_pool(wanted);
        let wanted = plan.wanted;
        self.handle(service, Input::Pool(demand.pool));
        self.handle(service, Input::Plan(wanted));
    }

    fn perform(&mut self, service: &ServiceName, action: Action) {
        let table = self.context.platform.table.clone();
        match action {
            Action::List { request } => self.list(service, request),
            Action::Record { request, commit } => self.spawn_request(service, async move {
                Input::Recorded { request, result: table.commit(commit).await }
            }),
            Action::Send { request, order, deadline } => {
                info!(
                    self.log, "sending target order";
                    "target" => %order.target, "action" => ?order.action
                );
                self.send(service, request, (order, deadline));
            }
            Action::Unavailable(class) => {
                if let Some(plan) = self.plans.get_mut(service) {
                    plan.policy.on_unavailable(BootClock.now(), &self.data_centre, class);
                }
            }
            Action::Stale(epoch) => warn!(self.log, "another holder took over"; "epoch" => %epoch),
            Action::Wake(_) => {}
        }
    }

    fn spawn_request(&self, service: &ServiceName, work: impl Future<Output = Input> + 'static) {
        let (messages, service) = (self.messages.clone(), service.clone());
        monoio::spawn(async move {
            let input = work.await;
            let _ = messages.unbounded_send(Message::OrderInput { service, input });
        });
    }

    /// Lists only the configured targets of the service, so that the reconciler never stops
    /// another one.
    fn list(&self, service: &ServiceName, request: u64) {
        let (orders, data_centre) =
            (self.context.platform.orders.clone(), self.data_centre.clone());
        let mut engines = engines(&self.context, &self.data_centre);
        engines.retain(|engine| engine.service == *service);
        let is_ours =
            move |target: &ListedTarget| engines.iter().any(|engine| engine.name == target.name);
        self.spawn_request(service, async move {
            let result = orders.list(data_centre).await;
            let result = result.map(|listed| listed.into_iter().filter(is_ours).collect());
            Input::Listed { request, result }
        });
    }

    /// Sends an order. The lease and the deadline are checked directly before.
    fn send(&self, service: &ServiceName, request: u64, (order, deadline): (Order, Deadline)) {
        let (orders, data_centre) =
            (self.context.platform.orders.clone(), self.data_centre.clone());
        let lease = self.lease.clone();
        let outcomes = self.context.data_centres.metrics.target_orders.clone();
        self.spawn_request(service, async move {
            let result = match lease.permit_recorded(deadline) {
                Some(_) => orders.send(data_centre, order).await,
                None => Err(Error::Unreachable),
            };
            let outcome = if result.is_ok() { "accepted" } else { "failed" };
            outcomes.with_label_values(&[outcome]).inc();
            Input::Sent { request, result }
        });
    }
}
