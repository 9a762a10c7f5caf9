use serde_json::{Map, Value, json};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{NodeRequest, send},
};

/// Prints the metrics in the text format of Prometheus, or as a JSON object from series to value.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let reply = send(&arguments.nodes, &NodeRequest::read("/metrics"))?;
    let text = String::from_utf8_lossy(&reply.body);
    if arguments.wants_json() {
        console.print_json(&values_by_series(&text))?;
    } else {
        write!(console.output, "{text}")?;
    }
    Ok(Exit::Done)
}

/// Converts metrics in the text format of Prometheus to an object from series to value. Values
/// that are not numbers in JSON, such as `NaN`, become strings.
fn values_by_series(text: &str) -> Map<String, Value> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| line.rsplit_once(' '));
    let value = |text: &str| serde_json::from_str(text).unwrap_or_else(|_| json!(text));
    pairs.map(|(name, text)| (name.to_owned(), value(text))).collect()
}
