use derive_more::{Display, Error};
use http::StatusCode;
use serde::Deserialize;

/// An error answer of a node.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("refused with `{code}` ({status}): {message}; {}", self.remedy())]
pub struct Refused {
    /// HTTP status.
    pub status: StatusCode,
    /// Code, see `docs/api.md`.
    pub code: String,
    /// Sentence of the node.
    pub message: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: String,
}

#[derive(Deserialize)]
struct Body {
    error: Fields,
}

#[derive(Deserialize)]
struct Fields {
    code: String,
    message: String,
    ran: String,
}

impl Refused {
    /// Reads an error body. One in another form doesn't say whether the request ran.
    pub(crate) fn read(status: StatusCode, body: &[u8]) -> Self {
        match serde_json::from_slice::<Body>(body) {
            Ok(Body { error: Fields { code, message, ran } }) => {
                Self { status, code, message, ran }
            }
            Err(_) => Self {
                status,
                code: "none".into(),
                message: "the answer has no error body".into(),
                ran: if status.is_client_error() { "no" } else { "unknown" }.into(),
            },
        }
    }

    /// Returns whether another node may take the same request: it had no
    /// effect here, and the reason lies with this node.
    pub(crate) fn is_passable(&self) -> bool {
        self.status.is_server_error() && self.ran == "no"
    }

    /// Returns whether the request may have taken effect.
    pub(crate) fn is_unknown(&self) -> bool {
        self.status.is_server_error() && self.ran != "no"
    }

    fn remedy(&self) -> &'static str {
        match self.code.as_str() {
            "conflict" => "compare with `tamarackctl diff FILE`, then submit again",
            "bad_request" => "correct the file with `tamarackctl check FILE`",
            "not_found" => {
                "check the names with `tamarackctl show`; the node may be of an older release"
            }
            "store_unavailable" => "repeat when the platform's store answers",
            _ => "repeat later or on another node",
        }
    }
}
