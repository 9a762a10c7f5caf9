use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_usage::{Batch, Keys};

use crate::targets::Update;

/// A message to another node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// A trainer's call that the holder of its step must answer.
    Step(StepCall),
    /// Unflushed counts of the sender, to be flushed if it dies.
    Usage { origin: Keys, batches: Vec<Batch> },
    /// Reports of engines from the holder of their data centre.
    Targets(Update),
}

/// A trainer's call, checked for its key by the node that received it.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StepCall {
    pub(crate) method: String,
    pub(crate) uri: String,
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}
