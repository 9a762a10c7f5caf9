use std::{net::SocketAddr, rc::Rc};

use slog::{Logger, info};
use tamarackdock_config::Settings;
use tamarackdock_membership::Peer;
use tamarackdock_types::clock::{BootClock, Clock};
use tamarackdock_wire::{
    client::Pool,
    flag::Flag,
    server::{self, Options},
    validation::Limits,
};

use crate::{
    Error, Running,
    active::Watch,
    caller::{self, RequestIds},
    config,
    context::Context,
    data_centre,
    dispatch::Dispatch,
    membership::{self, Peers},
    operator, peer,
    platform::Platform,
    reachability::{self, Gate},
    router,
    running::Listeners,
    step, targets,
    telemetry::{Metrics, log},
    usage, weights,
};

/// A node that can be started on the current thread's runtime.
pub struct Node {
    settings: Settings,
    log: Logger,
}

impl Node {
    /// Makes a node that isn't started yet and has bound no ports.
    #[must_use]
    pub fn new(settings: Settings, log: Logger) -> Self {
        Self { settings, log }
    }

    /// Binds the ports and starts the tasks.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if a port can't be bound or the metrics can't be registered.
    pub fn start(self) -> Result<Running, Error> {
        let pool = Rc::new(Pool::new(Limits::default()));
        let peer_pool = Rc::new(Pool::new(Limits::default()));
        let settings = Rc::new(self.settings);
        let peers = Peers::default();
        let peer_client = peer::Client::new(peer_pool);
        let targets = targets::TargetStates::default();
        let router = router::spawn(router::Dependencies {
            targets: targets.clone(),
            settings: settings.clone(),
            peers: peers.clone(),
            peer_client: peer_client.clone(),
            pool: pool.clone(),
            log: self.log.clone(),
        });
        let metrics = Rc::new(Metrics::new().map_err(Error::Metrics)?);
        let (usage, usage_messages) =
            usage::channel(&settings.host, &metrics).map_err(Error::Metrics)?;
        let context = Context {
            active: Watch::default(),
            platform: Platform::new(settings.platform_address, pool.clone()),
            pool,
            router,
            peers,
            gate: Gate::new(settings.data_centre.clone()),
            peer_client,
            weights: weights::Watch::default(),
            usage,
            targets,
            data_centres: data_centre::Handle::new(&metrics).map_err(Error::Metrics)?,
            metrics,
            log: self.log,
            leaving: Flag::new(),
            settings: settings.clone(),
        };
        let stop = Flag::new();
        let options =
            Options { closing: context.leaving.clone(), stop: stop.clone(), ..Options::default() };
        let request_ids = Rc::new(RequestIds::new(&settings.host, BootClock.now()));
        let steps = Rc::new(step::Service::new(context.clone()));
        let callers = Rc::new(caller::Handler::new(context.clone(), request_ids, steps.clone()));
        let members = Rc::new(membership::Service::new(context.clone()));
        let config = Rc::new(config::Service::new(context.clone()));
        let operators = Rc::new(operator::Handler::new(
            context.clone(),
            steps.clone(),
            config.clone(),
            members.clone(),
        ));
        let dispatch = Dispatch::new(&context, steps.clone(), members.clone(), config.clone());
        let dispatch = Rc::new(dispatch);
        let peers = Rc::new(peer::Handler::new(dispatch));
        let callers = server::listen(settings.caller_address, callers, options.clone())
            .map_err(|source| Error::Bind { port: "caller", source })?;
        let peers = server::listen(settings.peer_address, peers, options.clone())
            .map_err(|source| Error::Bind { port: "peer", source })?;
        let operators = server::listen(settings.operator_address, operators, options)
            .map_err(|source| Error::Bind { port: "operator", source })?;
        monoio::spawn(weights::run(context.clone()));
        usage::spawn(&context, usage_messages);
        monoio::spawn(data_centre::run(context.clone()));
        monoio::spawn(targets::run(context.clone()));
        let listeners = Listeners { callers, operators, peers };
        context.peers.start(own_peer(&settings, listeners.peers.address()), BootClock.now());
        monoio::spawn(membership::run(context.clone(), members.clone()));
        monoio::spawn(config::run(config));
        monoio::spawn(reachability::run(context.clone()));
        info!(log::part(&context.log, "node"), "started";
            "callers" => %listeners.callers.address());
        Ok(Running::new(listeners, context, steps, members, stop))
    }
}

/// Returns the entry of this node in the list of members.
fn own_peer(settings: &Settings, address: SocketAddr) -> Peer {
    let (host, data_centre) = (settings.host.clone(), settings.data_centre.clone());
    Peer { host, address, data_centre }
}
