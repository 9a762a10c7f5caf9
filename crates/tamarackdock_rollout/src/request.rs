//! Requests for steps.

use std::sync::Arc;

use derive_more::{Display, Error as StdError};
use serde::{Deserialize, Serialize};
use tamarackdock_types::{ServiceName, TrainerName, weight::Version};

use crate::slot::Slot;

/// Largest count of samples in a step.
pub const MAX_SAMPLES: usize = 4096;
/// Largest prompt in bytes.
pub const MAX_PROMPT_BYTES: usize = 1 << 20;

/// The reason why a request is not valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, StdError)]
pub enum Error {
    /// There is no prompt.
    #[display("`prompts` must not be empty")]
    NoPrompts,
    /// The group size is zero.
    #[display("`group_size` must be at least 1")]
    EmptyGroup,
    /// The largest number of tokens is zero.
    #[display("`max_tokens` must be at least 1")]
    NoTokens,
    /// The step is too large.
    #[display("a step has at most {MAX_SAMPLES} samples, this one has {samples}; split it")]
    TooManySamples {
        /// Count of samples that were requested.
        samples: usize,
    },
    /// A prompt is too long.
    #[display(
        "a prompt has at most {MAX_PROMPT_BYTES} bytes, prompt {group} has {bytes}; shorten it"
    )]
    PromptTooLong {
        /// Number of the prompt.
        group: usize,
        /// Length of the prompt.
        bytes: usize,
    },
}

/// The fields of a request as a trainer sends them, not validated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fields {
    /// Trainer that requests the step.
    pub trainer: TrainerName,
    /// Number of the step; a trainer requests each number once.
    pub step: u64,
    /// Model that produces the samples.
    pub service: ServiceName,
    /// Prompts, one for each group.
    pub prompts: Vec<Arc<str>>,
    /// Count of samples for each prompt.
    pub group_size: u32,
    /// Largest count of tokens in a sample.
    pub max_tokens: u32,
    /// Largest number of weight versions by which a sample may be older than
    /// the newest weights when it is placed in the delivery order.
    pub staleness_bound: u64,
}

/// A valid request for one step. Clones share the fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Fields", into = "Fields")]
pub struct Request(Arc<Fields>);

impl Request {
    /// Makes a request from valid fields.
    ///
    /// # Errors
    ///
    /// Returns the first check that the fields fail.
    pub fn new(fields: Fields) -> Result<Self, Error> {
        let samples = fields.prompts.len().saturating_mul(fields.group_size as usize);
        let too_long = fields.prompts.iter().position(|prompt| prompt.len() > MAX_PROMPT_BYTES);
        match too_long {
            _ if fields.prompts.is_empty() => Err(Error::NoPrompts),
            _ if fields.group_size == 0 => Err(Error::EmptyGroup),
            _ if fields.max_tokens == 0 => Err(Error::NoTokens),
            _ if samples > MAX_SAMPLES => Err(Error::TooManySamples { samples }),
            Some(group) => Err(Error::PromptTooLong { group, bytes: fields.prompts[group].len() }),
            None => Ok(Self(Arc::new(fields))),
        }
    }

    /// Returns the fields that were requested.
    #[must_use]
    pub fn fields(&self) -> &Fields {
        &self.0
    }

    /// Returns the count of groups.
    #[must_use]
    pub fn groups(&self) -> u32 {
        u32::try_from(self.0.prompts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the count of samples.
    #[must_use]
    pub fn samples(&self) -> u32 {
        self.groups().saturating_mul(self.0.group_size)
    }

    /// Returns the slot with a number below [`Self::samples`]. Slots are
    /// numbered group by group.
    #[must_use]
    pub fn slot(&self, number: u32) -> Slot {
        Slot {
            trainer: self.0.trainer.clone(),
            step: self.0.step,
            group: number / self.0.group_size,
            index: number % self.0.group_size,
        }
    }

    /// Returns the numbers of the slots of a group.
    #[must_use]
    pub fn slots_of(&self, group: u32) -> std::ops::Range<u32> {
        group * self.0.group_size..(group + 1) * self.0.group_size
    }

    /// Returns whether a sample whose oldest tokens are of version `oldest` is
    /// too old once the weights have version `newest`.
    #[must_use]
    pub fn is_stale(&self, oldest: Version, newest: Version) -> bool {
        oldest.lag_behind(newest) > self.0.staleness_bound
    }
}

impl TryFrom<Fields> for Request {
    type Error = Error;

    fn try_from(fields: Fields) -> Result<Self, Error> {
        Self::new(fields)
    }
}

impl From<Request> for Fields {
    fn from(request: Request) -> Self {
        Arc::unwrap_or_clone(request.0)
    }
}
