use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_channel::mpsc;
use slog::{Logger, info};
use tamarackdock_config::{deployment::Target, settings::Loading};
use tamarackdock_platform::weight::LatestWeights;
use tamarackdock_types::{
    DataCentreName, ServiceName, TargetName,
    clock::{BootClock, Clock, Instant},
    fence::Epoch,
    weight::Version,
};
use tamarackdock_weights::{
    loader::{Action, Input, Loader, OrderId, State},
    policy::{AllAtOnce, Policy, Waves},
};

use super::{
    engines::engines, load_order, message::Message, polls::Polls, report_publisher::ReportPublisher,
};
use crate::{
    context::Context,
    engine::{LoadReport, fetch_load_report},
    lease,
    targets::Report,
};

const LATEST_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Largest share of a service's capacity in the data centre that loads weights at the same time.
const MAX_LOADING_PERCENT: u8 = 25;

/// Loads weights on the engines of a data centre under one epoch, and publishes their reports.
pub(super) struct WeightLoads {
    context: Context,
    data_centre: DataCentreName,
    lease: lease::Handle,
    epoch: Epoch,
    loaders: BTreeMap<ServiceName, Loader>,
    polls: Polls,
    publisher: ReportPublisher,
    next_latest_poll: Instant,
    messages: mpsc::UnboundedSender<Message>,
    log: Logger,
}

impl WeightLoads {
    pub(super) fn new(
        context: &Context,
        data_centre: &DataCentreName,
        (lease, epoch): (lease::Handle, Epoch),
        messages: mpsc::UnboundedSender<Message>,
        log: Logger,
    ) -> Self {
        Self {
            context: context.clone(),
            data_centre: data_centre.clone(),
            lease,
            epoch,
            loaders: BTreeMap::new(),
            polls: Polls::default(),
            publisher: ReportPublisher::new(context, data_centre, epoch),
            next_latest_poll: Instant::default(),
            messages,
            log,
        }
    }

    /// Polls the engines and the weight store that are due, and drives the loaders.
    pub(super) fn tick(&mut self) {
        let now = BootClock.now();
        let engines = self.engines();
        for removed in self.polls.retain(|name| engines.iter().any(|engine| engine.name == *name)) {
            self.remove_engine(&removed);
        }
        for engine in &engines {
            if self.polls.begin(now, &engine.name) {
                self.poll(engine.clone());
            }
        }
        if now >= self.next_latest_poll {
            self.next_latest_poll = now + LATEST_POLL_INTERVAL;
            self.poll_latest(&engines);
        }
        self.publisher.tick();
        let services: Vec<_> = self.loaders.keys().cloned().collect();
        for service in &services {
            self.handle(service, Input::Tick);
        }
    }

    /// Handles an engine's report, or `None` if a poll failed.
    pub(super) fn on_report(
        &mut self,
        target: &TargetName,
        load: Option<LoadReport>,
        excludes_old_orders: bool,
    ) {
        let is_gone = self.polls.end(BootClock.now(), target, load.is_some());
        let engine = self.engines().into_iter().find(|engine| engine.name == *target);
        match (engine, load) {
            (Some(engine), Some(load)) => self.publish_report(&engine, load, excludes_old_orders),
            (Some(_), None) if is_gone => self.remove_engine(target),
            _ => {}
        }
    }

    /// Handles the newest version. The weight store's rate limit holds for all data
    /// centres together, so each uses a part in proportion to its engines.
    pub(super) fn on_latest(&mut self, service: &ServiceName, latest: LatestWeights) {
        let active = self.context.active.get();
        let of_service = || active.targets().iter().filter(|target| target.service == *service);
        let here = of_service().filter(|target| target.data_centre == self.data_centre).count();
        let share = to_f64(here) / to_f64(of_service().count().max(1));
        let loads_per_second = latest.loads_per_second * share;
        self.handle(service, Input::Latest { version: latest.version, loads_per_second });
    }

    /// Passes an input to the loader of a service and performs its actions.
    pub(super) fn handle(&mut self, service: &ServiceName, input: Input) {
        let now = BootClock.now();
        let (loading, epoch) = (self.context.settings.policy.loading, self.epoch);
        let new = || Loader::new(now, epoch, policy(loading));
        let loader = self.loaders.entry(service.clone()).or_insert_with(new);
        for action in loader.handle(now, input) {
            match action {
                Action::Load { order, target, version } => {
                    let engine = self.engines().into_iter().find(|engine| engine.name == target);
                    self.send_order(service, engine, (order, version));
                }
                Action::Done(version) => {
                    info!(self.log, "weights loaded"; "service" => %service, "version" => %version);
                }
            }
        }
    }

    fn send_order(
        &self,
        service: &ServiceName,
        engine: Option<Rc<Target>>,
        (order, version): (OrderId, Version),
    ) {
        let (messages, service) = (self.messages.clone(), service.clone());
        let Some(engine) = engine else {
            let input = Input::Failed(order);
            let _ = messages.unbounded_send(Message::LoadEnded { service, input });
            return;
        };
        let (context, lease) = (self.context.clone(), self.lease.clone());
        monoio::spawn(async move {
            let input = load_order::send(context, lease, engine, (order, version)).await;
            let _ = messages.unbounded_send(Message::LoadEnded { service, input });
        });
    }

    /// Publishes a report. The loader gets it only if no order of an earlier epoch
    /// could still arrive when the engine was polled.
    fn publish_report(&mut self, engine: &Target, load: LoadReport, excludes_old_orders: bool) {
        let report = Report {
            data_centre: self.data_centre.clone(),
            version: load.weight_version,
            restart_id: load.restart_id,
            warm: load.warm,
            calls: load.running + load.queued,
            capacity: load.capacity,
        };
        self.context.targets.set_report(&engine.name, report);
        if !excludes_old_orders {
            return;
        }
        let state = if load.loading { State::Loading } else { State::Serving };
        let (target, version) = (engine.name.clone(), load.weight_version);
        let input = Input::Reported { target, capacity: load.capacity, version, state };
        self.handle(&engine.service, input);
    }

    fn remove_engine(&mut self, target: &TargetName) {
        self.context.targets.remove_report(target);
        let services: Vec<_> = self.loaders.keys().cloned().collect();
        for service in &services {
            self.handle(service, Input::Removed(target.clone()));
        }
    }

    fn poll(&self, engine: Rc<Target>) {
        let (pool, messages) = (self.context.pool.clone(), self.messages.clone());
        let excludes_old_orders = engine.checks_epoch || self.lease.old_orders_expired();
        monoio::spawn(async move {
            let load = fetch_load_report(&pool, engine.address).await;
            let target = engine.name.clone();
            let _ =
                messages.unbounded_send(Message::Reported { target, load, excludes_old_orders });
        });
    }

    fn poll_latest(&self, engines: &[Rc<Target>]) {
        let mut services: Vec<_> = engines.iter().map(|engine| engine.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let (store, messages) = (self.context.platform.weights.clone(), self.messages.clone());
            monoio::spawn(async move {
                if let Ok(latest) = store.latest(service.clone()).await {
                    let _ = messages.unbounded_send(Message::Latest { service, latest });
                }
            });
        }
    }

    fn engines(&self) -> Vec<Rc<Target>> {
        engines(&self.context, &self.data_centre)
    }
}

fn policy(loading: Loading) -> Box<dyn Policy> {
    match loading {
        Loading::Waves => Box::new(Waves { max_loading_percent: MAX_LOADING_PERCENT }),
        Loading::AllAtOnce => Box::new(AllAtOnce),
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
