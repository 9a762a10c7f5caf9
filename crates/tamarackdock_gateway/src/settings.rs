//! Settings of one process: JSON with comments. `docs/operators/gateway.md`
//! lists the fields.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use derive_more::{Display, Error};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

use crate::{deployment::Name, pace::Rates};

/// The settings of a process.
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
    /// Addresses of some nodes for peers, for the time before others are known.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the interface for usage reports and orders of targets.
    pub orders: Option<SocketAddr>,
    /// Time bounds that the deployment promises.
    pub bounds: Bounds,
    /// Limits of the process.
    pub limits: Limits,
    /// Fields that this version does not know. They are logged and have no effect.
    #[serde(flatten)]
    pub unknown: BTreeMap<String, serde_json::Value>,
}

/// Addresses to listen on.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Health checks of the balancer.
    pub health: SocketAddr,
    /// Other nodes.
    pub peers: SocketAddr,
    /// Metrics and state dump.
    pub metrics: SocketAddr,
}

/// Time bounds. The names are those of `docs/operators/gateway.md`.
#[serde_as]
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Whether withdrawn keys must not work on hosts without the store either.
    pub strict_keys: bool,
    /// Time after which a withdrawn key must not work.
    #[serde(rename = "withdrawn_key_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub withdrawn_key: Duration,
    /// Time from a planned stop until the process is killed.
    #[serde(rename = "stop_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop: Duration,
    /// Time within which two holders must not take turns.
    #[serde(rename = "lease_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease: Duration,
    /// Length of a usage window.
    #[serde(rename = "usage_window_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub usage_window: Duration,
    /// How long results are kept after a batch job was submitted.
    #[serde(rename = "keep_results_s")]
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub keep_results: Duration,
}

/// Limits of a process.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Memory in MB.
    pub memory_mb: u64,
    /// Bytes of a row's value in the store.
    pub row_bytes: usize,
    /// Rates of the store.
    #[serde(default)]
    pub store: Rates,
}

/// The settings can't be used.
#[derive(Debug, Display, Error)]
#[display("`{path}`: {reason}")]
pub struct SettingsError {
    path: String,
    reason: String,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the first fault.
    pub fn read(path: &str) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|error| SettingsError {
            path: path.into(),
            reason: format!("can't be read: {error}"),
        })?;
        Self::parse(path, &text)
    }

    /// Reads settings from text. `path` appears in errors only.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the first fault.
    pub fn parse(path: &str, text: &str) -> Result<Self, SettingsError> {
        let fault = |reason: String| SettingsError { path: path.into(), reason };
        let value: serde_json::Value =
            jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
                .map_err(|error| fault(error.to_string()))?;
        let settings: Self =
            serde_json::from_value(value).map_err(|error| fault(error.to_string()))?;
        let Limits { row_bytes, store, .. } = settings.limits;
        match row_bytes {
            0..1024 => Err(fault("`limits.row_bytes` must be 1024 or more".into())),
            _ if store.reads_per_s == 0 || store.part_writes_per_s == 0 => {
                Err(fault("the rates of `limits.store` must be 1 or more".into()))
            }
            _ => Ok(settings),
        }
    }
}
