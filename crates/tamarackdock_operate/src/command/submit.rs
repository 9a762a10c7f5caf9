use http::Method;

use super::{file, show};
use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{self, Ask},
    operation,
};

/// Submits a file as a new version. The base is read first if it isn't given,
/// so that only changes by others in between are refused.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (bytes, _) = file::deployment(arguments.get(0))?;
    let base = match arguments.base {
        Some(base) => base,
        None => show::active(&arguments.nodes)?.version,
    };
    let operation = arguments.operation.clone().map_or_else(operation::id, Ok)?;
    let wait = arguments.wait.unwrap_or_default();
    let ask = Ask {
        method: Method::POST,
        path: format!("/config?base={base}&operation={operation}&wait_ms={}", wait.as_millis()),
        body: bytes.into(),
        wait,
        repeatable: true,
        repeat: format!("--base {base} --operation {operation}"),
    };
    let accepted = client::change(&arguments.nodes, &ask)?;
    Ok(accepted.print(console, arguments.json(), arguments.wait.is_some()))
}
