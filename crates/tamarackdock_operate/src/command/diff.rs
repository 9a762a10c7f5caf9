use serde_json::json;

use super::{file, show};
use crate::{Console, Error, Exit, arguments::Arguments, difference::Difference};

/// Prints what a file would change.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (_, new) = file::deployment(arguments.get(0))?;
    let active = show::active(&arguments.nodes)?;
    let differences = Difference::between(&active.deployment, &new);
    if arguments.json() {
        console.json(&json!({"base": active.version, "changes": differences}))?;
        return Ok(Exit::Done);
    }
    if differences.is_empty() {
        console.line(format_args!("no change against version {}", active.version))?;
    } else {
        console.line(format_args!("changes against version {}:", active.version))?;
    }
    for difference in &differences {
        console.line(difference)?;
    }
    Ok(Exit::Done)
}
