use http::Method;
use tamarackdock_types::{AccountName, DataCentreName, key::Hash};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{self, NodeRequest},
    random,
};

/// Issues or withdraws a key, or changes the state of a data centre.
///
/// If the answer is lost, the operator decides whether to repeat the command: nodes don't
/// recognise these requests by operation id, and somebody else may have made the opposite
/// change in between.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (method, path) = route(arguments)?;
    let operation = arguments.operation.clone().map_or_else(random::operation_id, Ok)?;
    let wait = arguments.wait.unwrap_or_default();
    let request = NodeRequest {
        method,
        path: format!("{path}?operation={operation}&wait_ms={}", wait.as_millis()),
        body: bytes::Bytes::new(),
        wait,
        idempotent: false,
        repeat_options: format!("--operation {operation}"),
    };
    let accepted = client::change(&arguments.nodes, &request)?;
    Ok(accepted.print(console, arguments.wants_json(), arguments.wait.is_some()))
}

fn route(arguments: &Arguments) -> Result<(Method, String), Error> {
    let first = arguments.positional(0);
    match arguments.spec.words {
        ["key", action] => {
            let account = AccountName::new(first)?;
            let hash = Hash::parse(arguments.positional(1))?;
            let method = if *action == "issue" { Method::POST } else { Method::DELETE };
            Ok((method, format!("/accounts/{account}/keys/{hash}")))
        }
        words => {
            let name = DataCentreName::new(first)?;
            let state = words.last().copied().unwrap_or_default();
            Ok((Method::POST, format!("/data-centres/{name}/{state}")))
        }
    }
}
