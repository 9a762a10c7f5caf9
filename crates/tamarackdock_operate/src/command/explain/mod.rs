mod call;
mod job;

use std::io::{self, Write};

use serde::Deserialize;
use serde_json::Value;

use self::{call::CallExplanation, job::JobExplanation};
use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    client::{NodeRequest, send},
};

/// Characters beside letters and digits that can stand in a query without being escaped, as
/// gateways don't unescape it.
const QUERY_CHARACTERS: &str = "-_.~/:%@!$*,;";

/// Prints where a gateway would send a call, or run the items of a job, and why.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let query = query(arguments)?;
    let reply = send(&arguments.nodes, &NodeRequest::read(&format!("/explain?{query}")))?;
    if arguments.wants_json() {
        console.print_json(&reply.parse_json::<Value>()?)?;
        return Ok(Exit::Done);
    }
    match reply.parse_json()? {
        Explanation::Call(call) => call.print(console.output)?,
        Explanation::Job(job) => job.print(console.output)?,
    }
    Ok(Exit::Done)
}

/// Returns the query that the options ask for.
fn query(arguments: &Arguments) -> Result<String, Error> {
    let value = |option: &str| match arguments.value(option) {
        Some(text) if text.is_empty() || !text.chars().all(is_allowed) => {
            let message = format!("`--{option}` must not be empty or hold spaces, `&`, `?` or `#`");
            Err(arguments.usage_error(&message))
        }
        value => Ok(value),
    };
    match (value("host")?, value("path")?, value("job")?) {
        (Some(_), Some(path), None) if !path.starts_with('/') => {
            Err(arguments.usage_error("`--path` must begin with `/`"))
        }
        (Some(host), Some(path), None) => Ok(format!("host={host}&path={path}")),
        (None, None, Some(job)) => Ok(format!("job={job}")),
        _ => Err(arguments.usage_error("give either `--host` and `--path`, or `--job`")),
    }
}

fn is_allowed(character: char) -> bool {
    character.is_ascii_alphanumeric() || QUERY_CHARACTERS.contains(character)
}

/// The answer of a gateway. Fields that it adds later are ignored.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Explanation {
    Call(CallExplanation),
    Job(JobExplanation),
}

#[derive(Debug, Deserialize)]
struct LeftOut {
    id: String,
    data_centre: String,
    reason: String,
}

impl LeftOut {
    fn print(&self, output: &mut dyn Write) -> io::Result<()> {
        writeln!(output, "  left out: {} ({}): {}", self.id, self.data_centre, self.reason)
    }
}

/// Prints how many further lines were left out, if any.
fn print_more(count: usize, output: &mut dyn Write) -> io::Result<()> {
    if count == 0 { Ok(()) } else { writeln!(output, "  and {count} more") }
}
