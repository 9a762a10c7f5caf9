use std::rc::Rc;

use slog::Logger;
use tamarackdock_config::Settings;
use tamarackdock_wire::{client::Pool, flag::Flag};

use crate::{
    active::Watch, data_centre, membership::Peers, peer, platform::Platform, reachability::Gate,
    router, targets, telemetry::Metrics, usage, weights,
};

/// Settings, clients and state that the tasks of a node share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) settings: Rc<Settings>,
    pub(crate) active: Watch,
    pub(crate) platform: Platform,
    pub(crate) pool: Rc<Pool>,
    pub(crate) router: router::Handle,
    pub(crate) peers: Peers,
    pub(crate) gate: Gate,
    pub(crate) peer_client: peer::Client,
    pub(crate) weights: weights::Watch,
    pub(crate) usage: usage::Handle,
    pub(crate) targets: targets::TargetStates,
    pub(crate) data_centres: data_centre::Handle,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) log: Logger,
    /// Set when the node begins to shut down. The health check fails from then on.
    pub(crate) leaving: Flag,
}
