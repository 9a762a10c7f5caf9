use http::StatusCode;
use serde::Serialize;
use serde_json::json;
use tamarackdock_config::reader::{Problem, Report};
use tamarackdock_types::refusal::Code;
use tamarackdock_wire::server::Response;

/// One problem of a submitted configuration, in the form of the answer.
#[derive(Serialize)]
struct ProblemBody<'a> {
    line: usize,
    column: usize,
    path: &'a str,
    problem: String,
    remedy: String,
}

impl<'a> From<&'a Problem> for ProblemBody<'a> {
    fn from(problem: &'a Problem) -> Self {
        Self {
            line: problem.position.line,
            column: problem.position.column,
            path: &problem.path,
            problem: problem.kind.to_string(),
            remedy: problem.kind.remedy(),
        }
    }
}

/// Builds the answer that lists all problems of a submitted configuration.
pub(super) fn response(report: &Report) -> Response {
    let problems: Vec<ProblemBody<'_>> = report.problems().iter().map(Into::into).collect();
    let message = "the configuration is not valid; correct the places in `problems`";
    let error = json!({"code": Code::BadRequest, "message": message, "ran": "no"});
    Response::json(StatusCode::BAD_REQUEST, &json!({"error": error, "problems": problems}))
}
