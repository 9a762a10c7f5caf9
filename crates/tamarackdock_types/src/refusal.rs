//! Error responses to callers. See `docs/api.md` for the list of codes.

use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::call::Ran;

/// The reason of a refusal. Codes are stable, and callers may match on them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The head of the request is larger than allowed.
    #[display("head_too_large")]
    HeadTooLarge,
    /// The body of the request is larger than allowed.
    #[display("body_too_large")]
    BodyTooLarge,
    /// The request did not arrive in time.
    #[display("request_timeout")]
    RequestTimeout,
    /// No valid key came with the request.
    #[display("unauthorized")]
    Unauthorized,
    /// The key's client account may not use the service or trainer.
    #[display("forbidden")]
    Forbidden,
    /// The route, service, trainer or step does not exist.
    #[display("not_found")]
    NotFound,
    /// The method is not supported on the route.
    #[display("method_not_allowed")]
    MethodNotAllowed,
    /// The request contradicts an earlier one.
    #[display("conflict")]
    Conflict,
    /// The client account's share or the targets' capacity is used up.
    #[display("overloaded")]
    Overloaded,
    /// No target can take the request at present.
    #[display("no_target")]
    NoTarget,
    /// The node can't tell whether keys are still valid.
    #[display("cut_off")]
    CutOff,
    /// The node is stopping.
    #[display("stopping")]
    Stopping,
    /// The request crashed several targets and is refused for some time.
    #[display("quarantined")]
    Quarantined,
    /// A target failed while it handled the request.
    #[display("target_failed")]
    TargetFailed,
    /// A target did not answer in time.
    #[display("target_timeout")]
    TargetTimeout,
    /// The platform's store does not answer.
    #[display("store_unavailable")]
    StoreUnavailable,
    /// Something failed inside the node.
    #[display("internal")]
    Internal,
}

impl Code {
    /// Returns the HTTP status that goes with the code.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::Conflict => 409,
            Self::BodyTooLarge => 413,
            Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::HeadTooLarge => 431,
            Self::Internal => 500,
            Self::TargetFailed => 502,
            Self::NoTarget | Self::CutOff | Self::Stopping | Self::StoreUnavailable => 503,
            Self::TargetTimeout => 504,
        }
    }
}

/// The final response to a call that did not succeed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("{code}: {message}")]
pub struct Refusal {
    /// Stable reason, for programs.
    pub code: Code,
    /// Explanation in one sentence, for people.
    pub message: String,
    /// Whether the call ran on a target.
    pub ran: Ran,
    /// Time after which a retry makes sense, if one does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Makes a refusal of a call that has not run.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), ran: Ran::No, retry_after: None }
    }

    /// Makes a refusal of a call that may have run.
    #[must_use]
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { ran: Ran::Unknown, ..Self::not_run(code, message) }
    }

    /// Sets the time after which a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, span: Duration) -> Self {
        self.retry_after = Some(span);
        self
    }
}
