use std::sync::Arc;

use serde::Deserialize;
use tamarackdock_config::deployment::Trainer;
use tamarackdock_rollout::request::{Fields, Request};
use tamarackdock_types::{
    TrainerName,
    refusal::{Code, Refusal},
};

/// The body of a call that opens a step.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Open {
    pub(super) trainer: TrainerName,
    pub(super) step: u64,
    prompts: Vec<Arc<str>>,
    group_size: u32,
    max_tokens: u32,
    /// Limited by the configured bound, which also holds if the call gives none.
    staleness_bound: Option<u64>,
}

impl Open {
    /// Validates the call and completes it from the configuration of its trainer.
    pub(super) fn into_request(self, trainer: &Trainer) -> Result<Request, Refusal> {
        let bound = self.staleness_bound.unwrap_or(u64::MAX).min(trainer.staleness_bound);
        let fields = Fields {
            trainer: self.trainer,
            step: self.step,
            service: trainer.service.clone(),
            prompts: self.prompts,
            group_size: self.group_size,
            max_tokens: self.max_tokens,
            staleness_bound: bound,
        };
        Request::new(fields).map_err(|error| Refusal::not_run(Code::BadRequest, error.to_string()))
    }
}
