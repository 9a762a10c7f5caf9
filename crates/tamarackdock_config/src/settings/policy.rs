use serde::{Deserialize, Serialize};

/// How targets are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// By prompt prefix, balanced against load.
    #[default]
    Affinity,
    /// Each target in turn.
    RoundRobin,
}

/// How calls are admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Weighted fair shares of the targets' capacity.
    #[default]
    Fair,
    /// A fixed number of calls at the same time.
    Fixed,
}

/// How slow or failed samples are handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stragglers {
    /// Failed attempts are resumed, and the slowest samples get second attempts.
    #[default]
    Hedged,
    /// Failed attempts start again, and there are no second attempts.
    Baseline,
}

/// In which order engines are told to load new weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loading {
    /// In waves, so that the other engines go on serving.
    #[default]
    Waves,
    /// All at once.
    AllAtOnce,
}

/// How many targets are requested from the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spending {
    /// By measured demand.
    #[default]
    Elastic,
    /// All configured targets.
    Fixed,
}

/// The policies of a node. The simplest ones are the baseline of
/// measurements, see `docs/measurements.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How targets are chosen.
    pub routing: Routing,
    /// How calls are admitted.
    pub admission: Admission,
    /// How slow or failed samples are handled.
    pub stragglers: Stragglers,
    /// In which order engines are told to load new weights.
    pub loading: Loading,
    /// How many targets are requested from the platform.
    pub spending: Spending,
}

impl Policy {
    /// Returns the simplest policies, the baseline of measurements.
    #[must_use]
    pub const fn baseline() -> Self {
        Self {
            routing: Routing::RoundRobin,
            admission: Admission::Fixed,
            stragglers: Stragglers::Baseline,
            loading: Loading::AllAtOnce,
            spending: Spending::Fixed,
        }
    }
}
