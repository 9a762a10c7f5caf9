//! Settings of a gateway process, read from JSON with comments.
//! `docs/operators/gateway.md` lists the fields.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::{deployment::Name, periodic::Rates};

/// Settings of a gateway process.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// Name of the host.
    pub host: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Address of the store.
    pub store: SocketAddr,
    /// Peer addresses of some nodes, used until the other nodes are known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address to which usage reports and orders of targets are sent. Without it, none
    /// are sent.
    pub orders: Option<SocketAddr>,
    /// Time bounds that the deployment guarantees.
    pub bounds: Bounds,
    /// Limits of the process.
    pub limits: Limits,
    /// How work is scheduled.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// Unknown fields, which are logged and otherwise ignored.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, serde_json::Value>,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for health checks of the balancer.
    pub health: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for metrics and the state dump.
    pub metrics: SocketAddr,
}

/// Time bounds, with the names of `docs/operators/gateway.md`.
#[serde_as]
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Whether withdrawn keys must stop working even on hosts that can't reach the store.
    pub strict_keys: bool,
    /// Time after its withdrawal by which a key must no longer work.
    #[serde(rename = "withdrawn_key_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub withdrawn_key: Duration,
    /// Time from a planned stop until the process is killed.
    #[serde(rename = "stop_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop: Duration,
    /// Time within which the lease must not pass from one holder to another.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Length of a usage window.
    #[serde(rename = "usage_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub usage_window: Duration,
    /// Time after its submission for which the results of a batch job are kept.
    #[serde(rename = "keep_results_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub keep_results: Duration,
}

/// Limits of a process.
#[serde_as]
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory limit in MB.
    pub memory_mb: u64,
    /// Processor cores that the process may use, as a fraction.
    #[serde(default = "one_core")]
    pub cores: f64,
    /// Largest value of a row in the store, in bytes.
    pub row_bytes: usize,
    /// Descriptors that the process may have open. If it is left out or larger, the limit of the
    /// operating system counts.
    pub descriptors: Option<usize>,
    /// Longest time in which a caller accepts no byte of a response.
    #[serde(rename = "unread_s", default = "unread_time")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub unread: Duration,
    /// Rates that the store accepts from all nodes together.
    #[serde(default)]
    pub store: Rates,
}

impl Limits {
    /// Returns the processor cores of the process in thousandths.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn millicores(&self) -> u32 {
        // A cast of a floating-point number saturates.
        (self.cores * 1000.0) as u32
    }
}

/// How work is scheduled on targets.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scheduling {
    /// Whether the pace of targets is learned from their responses, as in deployments that name
    /// no rates for targets that start. See `docs/design/hard-load.md`.
    #[serde(default)]
    pub adaptive: bool,
}

fn one_core() -> f64 {
    1.0
}

fn unread_time() -> Duration {
    Duration::from_secs(30)
}

/// The reason why settings can't be used.
#[derive(Debug, Display, Error)]
#[display("`{path}`: {reason}")]
pub struct SettingsError {
    path: String,
    reason: String,
}

impl Settings {
    /// Returns the address that this process binds exclusively, if any: with
    /// `scheduling.adaptive`, that of the listener for peers. An address that stands for all those
    /// of the host can't tell two hosts apart.
    pub(crate) fn exclusive_address(&self) -> Option<SocketAddr> {
        let peers = self.listen.peers;
        let is_unique = !peers.ip().is_unspecified() && peers.port() != 0;
        (self.scheduling.adaptive && is_unique).then_some(peers)
    }

    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the first error.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
            path: path.into(),
            reason: format!("can't be read: {error}"),
        })?;
        Self::parse(path, &text)
    }

    /// Parses settings from text. `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the first error.
    pub fn parse(path: &str, text: &str) -> Result<Self, SettingsError> {
        let invalid = |reason: String| SettingsError { path: path.into(), reason };
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
                .map_err(|error| invalid(error.to_string()))?;
        let settings: Self =
            serde_json::from_value(value).map_err(|error| invalid(error.to_string()))?;
        let Limits { row_bytes, cores, store, unread, .. } = settings.limits;
        match row_bytes {
            0..1024 => Err(invalid("`limits.row_bytes` must be 1024 or more".into())),
            _ if !cores.is_finite() || cores <= 0.0 => {
                Err(invalid("`limits.cores` must be more than 0".into()))
            }
            _ if unread.is_zero() => Err(invalid("`limits.unread_s` must be more than 0".into())),
            _ if store.reads_per_s == 0 || store.part_writes_per_s == 0 => {
                Err(invalid("the rates of `limits.store` must be 1 or more".into()))
            }
            _ => Ok(settings),
        }
    }
}
