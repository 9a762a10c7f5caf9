use std::time::Duration;

use tamarackdock_config::version::VersionNumber;
use tamarackdock_types::refusal::{Code, Refusal};
use tamarackdock_wire::server::Request;

const MAX_WAIT: Duration = Duration::from_secs(30);
/// Longest operation id, limited since it is stored in several rows.
const MAX_OPERATION_BYTES: usize = 128;

/// Returns the version that a submission is based on.
pub(super) fn base(request: &Request) -> Result<VersionNumber, Refusal> {
    let base = parse_number(request, "base")?;
    base.map(VersionNumber)
        .ok_or_else(|| bad_request("`base` is missing; give the version from `GET /config`"))
}

/// Returns the operation id of a submission.
pub(super) fn operation(request: &Request) -> Result<Option<String>, Refusal> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
    let is_valid = |text: &&str| {
        (1..=MAX_OPERATION_BYTES).contains(&text.len()) && text.chars().all(is_allowed)
    };
    match request.parameter("operation") {
        Some(text) if !is_valid(&text) => {
            Err(bad_request("`operation` must have 1 to 128 letters, digits, `-`, `_`, `.` or `:`"))
        }
        text => Ok(text.map(Into::into)),
    }
}

/// Returns how long the answer may wait until the change is active on all nodes.
pub(super) fn wait(request: &Request) -> Result<Duration, Refusal> {
    let millis = parse_number(request, "wait_ms")?.unwrap_or(0);
    Ok(Duration::from_millis(millis).min(MAX_WAIT))
}

fn parse_number(request: &Request, name: &str) -> Result<Option<u64>, Refusal> {
    let parse = |text: &str| {
        text.parse()
            .map_err(|_| bad_request(&format!("`{name}` must be a whole number, not `{text}`")))
    };
    request.parameter(name).map(parse).transpose()
}

pub(super) fn bad_request(message: &str) -> Refusal {
    Refusal::not_run(Code::BadRequest, message)
}
