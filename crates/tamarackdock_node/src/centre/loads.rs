use std::{collections::BTreeMap, rc::Rc, time::Duration};

use futures_channel::mpsc;
use slog::{Logger, info};
use tamarackdock_config::{deployment::Target, settings::Loading};
use tamarackdock_platform::weight::Latest;
use tamarackdock_types::{
    DataCentreName, ServiceName, TargetName,
    clock::{BootClock, Clock, Instant},
    fence::Epoch,
    weight::Version,
};
use tamarackdock_weights::{
    loader::{Action, Input, Loader, Order, State},
    policy::{AllAtOnce, Policy, Waves},
};

use super::{engines::engines, message::Message, order, polls::Polls, share::Share};
use crate::{
    context::Context,
    engine::{Load, fetch_load},
    lease,
    targets::Report,
};

const LATEST_INTERVAL: Duration = Duration::from_millis(500);
/// Largest share of a service's capacity in the data centre that loads at once.
const MAX_AWAY_PERCENT: u8 = 25;

/// The weight loads of a data centre under one epoch.
pub(super) struct Loads {
    context: Context,
    centre: DataCentreName,
    lease: lease::Handle,
    epoch: Epoch,
    loaders: BTreeMap<ServiceName, Loader>,
    polls: Polls,
    share: Share,
    next_latest: Instant,
    messages: mpsc::UnboundedSender<Message>,
    log: Logger,
}

impl Loads {
    pub(super) fn new(
        context: &Context,
        centre: &DataCentreName,
        (lease, epoch): (lease::Handle, Epoch),
        messages: mpsc::UnboundedSender<Message>,
        log: Logger,
    ) -> Self {
        Self {
            context: context.clone(),
            centre: centre.clone(),
            lease,
            epoch,
            loaders: BTreeMap::new(),
            polls: Polls::default(),
            share: Share::new(context, centre, epoch),
            next_latest: Instant::default(),
            messages,
            log,
        }
    }

    /// Asks engines and weight store for news where it is due.
    pub(super) fn tick(&mut self) {
        let now = BootClock.now();
        let engines = self.engines();
        for gone in self.polls.retain(|name| engines.iter().any(|engine| engine.name == *name)) {
            self.forget(&gone);
        }
        for engine in &engines {
            if self.polls.begin(now, &engine.name) {
                self.poll(engine.clone());
            }
        }
        if now >= self.next_latest {
            self.next_latest = now + LATEST_INTERVAL;
            self.poll_latest(&engines);
        }
        self.share.tick();
        let services: Vec<_> = self.loaders.keys().cloned().collect();
        for service in &services {
            self.handle(service, Input::Tick);
        }
    }

    /// Takes an engine's report.
    pub(super) fn reported(&mut self, target: &TargetName, load: Option<Load>, is_settled: bool) {
        let is_gone = self.polls.end(BootClock.now(), target, load.is_some());
        let engine = self.engines().into_iter().find(|engine| engine.name == *target);
        match (engine, load) {
            (Some(engine), Some(load)) => self.learn(&engine, load, is_settled),
            (Some(_), None) if is_gone => self.forget(target),
            _ => {}
        }
    }

    /// Takes the newest version. The weight store's rate holds for all data
    /// centres, so each takes the part that its share of the engines makes.
    pub(super) fn latest(&mut self, service: &ServiceName, latest: Latest) {
        let active = self.context.active.get();
        let of_service = || active.targets().iter().filter(|target| target.service == *service);
        let here = of_service().filter(|target| target.data_centre == self.centre).count();
        let share = as_float(here) / as_float(of_service().count().max(1));
        let loads_per_second = latest.loads_per_second * share;
        self.handle(service, Input::Latest { version: latest.version, loads_per_second });
    }

    /// Passes an input to the loader of a service and acts as it says.
    pub(super) fn handle(&mut self, service: &ServiceName, input: Input) {
        let now = BootClock.now();
        let (loading, epoch) = (self.context.settings.policy.loading, self.epoch);
        let new = || Loader::new(now, epoch, policy(loading));
        let loader = self.loaders.entry(service.clone()).or_insert_with(new);
        for action in loader.handle(now, input) {
            match action {
                Action::Load { order, target, version } => {
                    let engine = self.engines().into_iter().find(|engine| engine.name == target);
                    self.order(service, engine, (order, version));
                }
                Action::Done(version) => {
                    info!(self.log, "weights loaded"; "service" => %service, "version" => %version);
                }
            }
        }
    }

    fn order(
        &self,
        service: &ServiceName,
        engine: Option<Rc<Target>>,
        (order, version): (Order, Version),
    ) {
        let (messages, service) = (self.messages.clone(), service.clone());
        let Some(engine) = engine else {
            let input = Input::Failed(order);
            let _ = messages.unbounded_send(Message::Settled { service, input });
            return;
        };
        let (context, lease) = (self.context.clone(), self.lease.clone());
        monoio::spawn(async move {
            let input = order::send(context, lease, engine, (order, version)).await;
            let _ = messages.unbounded_send(Message::Settled { service, input });
        });
    }

    /// Publishes a report. The loader gets it only if no order of an earlier
    /// epoch could arrive any more when the engine was asked.
    fn learn(&mut self, engine: &Target, load: Load, is_settled: bool) {
        let report = Report {
            data_centre: self.centre.clone(),
            version: load.weight_version,
            restart_id: load.restart_id,
            warm: load.warm,
            calls: load.running + load.queued,
            capacity: load.capacity,
        };
        self.context.targets.set(&engine.name, report);
        if !is_settled {
            return;
        }
        let state = if load.loading { State::Loading } else { State::Serving };
        let (target, version) = (engine.name.clone(), load.weight_version);
        let input = Input::Reported { target, capacity: load.capacity, version, state };
        self.handle(&engine.service, input);
    }

    fn forget(&mut self, target: &TargetName) {
        self.context.targets.remove(target);
        let services: Vec<_> = self.loaders.keys().cloned().collect();
        for service in &services {
            self.handle(service, Input::Gone(target.clone()));
        }
    }

    fn poll(&self, engine: Rc<Target>) {
        let (pool, messages) = (self.context.pool.clone(), self.messages.clone());
        let is_settled = engine.checks_epoch || self.lease.is_quiet();
        monoio::spawn(async move {
            let load = fetch_load(&pool, engine.address).await;
            let target = engine.name.clone();
            let _ = messages.unbounded_send(Message::Reported { target, load, is_settled });
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
        engines(&self.context, &self.centre)
    }
}

fn policy(loading: Loading) -> Box<dyn Policy> {
    match loading {
        Loading::Waves => Box::new(Waves { max_away_percent: MAX_AWAY_PERCENT }),
        Loading::AllAtOnce => Box::new(AllAtOnce),
    }
}

fn as_float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
