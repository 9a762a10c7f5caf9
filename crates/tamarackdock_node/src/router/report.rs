use serde::Deserialize;

/// The load that a target reports, see `docs/platform.md`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Report {
    pub(crate) restart_id: String,
    pub(crate) warm: bool,
    #[serde(default)]
    pub(crate) running: u32,
    #[serde(default)]
    pub(crate) queued: u32,
}
