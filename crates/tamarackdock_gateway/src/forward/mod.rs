//! Requests to targets that another node sends on.
//!
//! Two loads make this necessary. A few short calls a second that a balancer spreads over hundreds
//! of hosts: each host would open a connection to the target for nearly every call, which is the
//! largest cost of such calls, so that one node for each target and data centre carries them all.
//! And any request of a node that has lost its own paths to the targets.

pub(crate) mod admission;
pub(crate) mod ask;
mod serve;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use tamarackdock_path::Refusal;

pub(crate) use self::{
    ask::{send, send_shared},
    serve::{PATH, serve, stopped},
};
use crate::{
    deployment::Name,
    http::{ExchangeError, Headers},
    path::Permission,
};

/// Header field of the response of a node that forwards a request, with an [`Outcome`].
const OUTCOME: &str = "Forward-Outcome";
/// Header field of such a response if the end of the connection was the end of the target's.
const UNTIL_CLOSE: &str = "Forward-Until-Close";

/// A request as it is sent to the node that forwards it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ForwardedRequest {
    /// Id of the target.
    pub(crate) target: Name,
    pub(crate) method: String,
    pub(crate) path: String,
    /// Header fields for the target.
    pub(crate) headers: Headers,
    /// One element for each byte, as a sequence has, would double the size.
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
    pub(crate) permission: Permission,
    /// Store time at which it was sent to the other node, in milliseconds.
    pub(crate) sent_ms: i64,
    /// Time in milliseconds after which the sender gives it up.
    pub(crate) give_up_ms: u64,
    /// Whether the sender can make another attempt when the paths of the other node are lost.
    pub(crate) can_repeat: bool,
    /// Path prefix of the route of the batch job that an item belongs to. Earlier releases neither
    /// write nor read it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) job_route: Option<String>,
}

/// What a node has done with a request that it was to forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The response is that of the target.
    Answered,
    /// No byte was sent to the target, for a reason of this node.
    Refused(Refusal),
    /// The exchange with the target has failed.
    Failed(ExchangeError),
}

impl Outcome {
    /// All outcomes with their texts in [`OUTCOME`].
    const TEXTS: [(Self, &str); 10] = [
        (Self::Answered, "answered"),
        (Self::Refused(Refusal::Lost), "paths-lost"),
        (Self::Refused(Refusal::Full), "full"),
        (Self::Refused(Refusal::Declined), "declined"),
        (Self::Failed(ExchangeError::NotSent), "not-sent"),
        (Self::Failed(ExchangeError::ConnectionLost), "connection-lost"),
        (Self::Failed(ExchangeError::PathLost), "path-lost"),
        (Self::Failed(ExchangeError::TimedOut), "timed-out"),
        (Self::Failed(ExchangeError::TooLarge), "too-large"),
        (Self::Failed(ExchangeError::Malformed), "malformed"),
    ];

    fn text(self) -> &'static str {
        let found = Self::TEXTS.iter().find(|(outcome, _)| *outcome == self);
        found.map_or("malformed", |(_, text)| text)
    }

    fn of(headers: &Headers) -> Option<Self> {
        let text = headers.get(OUTCOME)?;
        Self::TEXTS.iter().find(|(_, known)| *known == text).map(|(outcome, _)| *outcome)
    }
}
