use serde_json::{Map, Value, json};

use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{Ask, send},
};

/// Prints the metrics in the text format of Prometheus, or as an object from series to value.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let reply = send(&arguments.nodes, &Ask::read("/metrics"))?;
    let text = String::from_utf8_lossy(&reply.body);
    if arguments.json() {
        console.json(&series(&text))?;
    } else {
        write!(console.output, "{text}")?;
    }
    Ok(Exit::Done)
}

/// Values that JSON has no number for, such as `NaN`, stay text.
fn series(text: &str) -> Map<String, Value> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| line.rsplit_once(' '));
    let value = |text: &str| serde_json::from_str(text).unwrap_or_else(|_| json!(text));
    pairs.map(|(name, text)| (name.to_owned(), value(text))).collect()
}
