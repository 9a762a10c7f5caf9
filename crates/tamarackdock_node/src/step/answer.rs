use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tamarackdock_rollout::request::Request;
use tamarackdock_types::refusal::Refusal;
use tamarackdock_wire::server::{Body, Response};

use crate::peer::StepAnswer;

impl StepAnswer {
    /// Confirms that a step is in progress.
    pub(super) fn opened(request: &Request) -> Self {
        let fields = request.fields();
        Self::json(&json!({
            "trainer": fields.trainer, "step": fields.step, "samples": request.samples(),
        }))
    }

    /// Confirms an acknowledgement.
    pub(super) fn acknowledged(cursor: u32) -> Self {
        Self::json(&json!({ "cursor": cursor }))
    }

    /// Returns samples unchanged, as the bytes that were recorded.
    pub(super) fn samples(samples: &[Bytes], next: u32, complete: bool) -> Self {
        let mut body = br#"{"samples":["#.to_vec();
        for (index, sample) in samples.iter().enumerate() {
            if index > 0 {
                body.push(b',');
            }
            body.extend_from_slice(sample);
        }
        body.extend_from_slice(
            format!(r#"],"next_cursor":{next},"complete":{complete}}}"#).as_bytes(),
        );
        Self { status: StatusCode::OK.as_u16(), retry_after: None, body }
    }

    fn json(value: &serde_json::Value) -> Self {
        Self { status: StatusCode::OK.as_u16(), retry_after: None, body: value.to_string().into() }
    }
}

impl From<Refusal> for StepAnswer {
    fn from(refusal: Refusal) -> Self {
        let response = Response::from(refusal);
        let retry_after = response.headers.get(http::header::RETRY_AFTER);
        let retry_after = retry_after.and_then(|value| Some(value.to_str().ok()?.to_owned()));
        let body = match response.body {
            Body::Full(body) => body.to_vec(),
            Body::Stream { .. } => Vec::new(),
        };
        Self { status: response.status.as_u16(), retry_after, body }
    }
}

impl From<StepAnswer> for Response {
    fn from(answer: StepAnswer) -> Self {
        let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut response = Self::new(status, "application/json", answer.body);
        let retry_after = answer.retry_after.and_then(|value| value.parse().ok());
        response.headers.extend(retry_after.map(|value| (http::header::RETRY_AFTER, value)));
        response
    }
}
