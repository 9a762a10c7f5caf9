use serde::{Deserialize, Serialize};

/// How targets are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// By prompt prefix, weighed against load.
    #[default]
    Affinity,
    /// One after the other.
    RoundRobin,
}

/// How calls are admitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// Weighted fair shares of the targets' capacity.
    #[default]
    Fair,
    /// A fixed number of calls at once.
    Fixed,
}

/// What happens to slow samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stragglers {
    /// Failed attempts are resumed and the tail gets second attempts.
    #[default]
    Hedged,
    /// Failed attempts start again, and there are no second attempts.
    Baseline,
}

/// How engines are ordered to load new weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loading {
    /// In waves, so that service goes on.
    #[default]
    Waves,
    /// All at once.
    AllAtOnce,
}

/// How many targets are ordered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Spending {
    /// By measured demand.
    #[default]
    Elastic,
    /// All configured targets.
    Fixed,
}

/// The policies of a node. The plain ones serve as the baseline of
/// measurements, see `docs/measurements.md`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How targets are chosen.
    pub routing: Routing,
    /// How calls are admitted.
    pub admission: Admission,
    /// What happens to slow samples.
    pub stragglers: Stragglers,
    /// How engines are ordered to load new weights.
    pub loading: Loading,
    /// How many targets are ordered.
    pub spending: Spending,
}

impl Policy {
    /// Returns the plain policies.
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
