use derive_more::{Display, Error};
use http::StatusCode;
use serde::Deserialize;

/// An answer by which a node refuses a request.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("refused with `{code}` ({status}): {message}; {}", self.remedy())]
pub struct ErrorResponse {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Error code, see `docs/api.md`; `none` if the answer has no error body.
    pub code: String,
    /// The node's description of the error.
    pub message: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    code: String,
    message: String,
    ran: String,
}

impl ErrorResponse {
    /// Parses an error body. An answer without one doesn't say whether the request ran, except
    /// by its status: a client error (4xx) counts as not run.
    pub(crate) fn parse(status: StatusCode, body: &[u8]) -> Self {
        match serde_json::from_slice::<ErrorBody>(body) {
            Ok(ErrorBody { error: ErrorFields { code, message, ran } }) => {
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

    /// Returns whether another node may accept the same request: it had no
    /// effect here, and the reason lies with this node.
    pub(crate) fn may_try_next_node(&self) -> bool {
        self.status.is_server_error() && self.ran == "no"
    }

    /// Returns whether the request may have taken effect.
    pub(crate) fn may_have_run(&self) -> bool {
        self.status.is_server_error() && self.ran != "no"
    }

    fn remedy(&self) -> &'static str {
        match self.code.as_str() {
            "conflict" => "compare with `tamarackctl diff FILE`, then submit again",
            "bad_request" => "correct the file with `tamarackctl check FILE`",
            "not_found" => {
                "check the names with `tamarackctl show`; the node may be of an older release"
            }
            "unknown_host" | "unknown_path" => "check `--host` and `--path` against the routes",
            "unknown_job" => "check the id; results of ended jobs are removed after a while",
            "store_unavailable" => "repeat when the platform's store answers",
            _ => "repeat later or on another node",
        }
    }
}
