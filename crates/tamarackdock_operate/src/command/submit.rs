use http::Method;

use super::{file, show};
use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{self, NodeRequest},
    random,
};

/// Submits a file as a new version. Without `--base`, the active version is read first and
/// becomes the base, so that the node refuses the file if another change came in between.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (bytes, _) = file::read_deployment(arguments.positional(0))?;
    let base = match arguments.base {
        Some(base) => base,
        None => show::read_active(&arguments.nodes)?.version,
    };
    let operation = arguments.operation.clone().map_or_else(random::operation_id, Ok)?;
    let wait = arguments.wait.unwrap_or_default();
    let request = NodeRequest {
        method: Method::POST,
        path: format!("/config?base={base}&operation={operation}&wait_ms={}", wait.as_millis()),
        body: bytes.into(),
        wait,
        idempotent: true,
        repeat_options: format!("--base {base} --operation {operation}"),
    };
    let accepted = client::change(&arguments.nodes, &request)?;
    Ok(accepted.print(console, arguments.wants_json(), arguments.wait.is_some()))
}
