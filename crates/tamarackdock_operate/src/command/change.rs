use http::Method;
use tamarackdock_types::{AccountName, DataCentreName, key::Hash};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{self, Ask},
    operation,
};

/// Changes a key or the state of a data centre.
///
/// A repetition after a lost answer is left to the operator: nodes don't
/// recognise these requests by operation id, and an opposite change by
/// somebody else may have come in between.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (method, path) = route(arguments)?;
    let operation = arguments.operation.clone().map_or_else(operation::id, Ok)?;
    let wait = arguments.wait.unwrap_or_default();
    let ask = Ask {
        method,
        path: format!("{path}?operation={operation}&wait_ms={}", wait.as_millis()),
        body: bytes::Bytes::new(),
        wait,
        repeatable: false,
        repeat: format!("--operation {operation}"),
    };
    let accepted = client::change(&arguments.nodes, &ask)?;
    Ok(accepted.print(console, arguments.json(), arguments.wait.is_some()))
}

fn route(arguments: &Arguments) -> Result<(Method, String), Error> {
    let first = arguments.get(0);
    match arguments.spec.words {
        ["key", action] => {
            let account = AccountName::new(first)?;
            let hash = Hash::parse(arguments.get(1))?;
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
