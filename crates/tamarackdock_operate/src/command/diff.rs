use serde_json::json;

use super::{file, show};
use crate::{Console, Error, Exit, arguments::Arguments, difference::Difference};

/// Prints what the submission of a file would change in the active configuration.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let (_, new) = file::read_deployment(arguments.positional(0))?;
    let active = show::read_active(&arguments.nodes)?;
    let differences = Difference::between(&active.deployment, &new);
    if arguments.wants_json() {
        console.print_json(&json!({"base": active.version, "changes": differences}))?;
        return Ok(Exit::Done);
    }
    if differences.is_empty() {
        console.print_line(format_args!("no change against version {}", active.version))?;
    } else {
        console.print_line(format_args!("changes against version {}:", active.version))?;
    }
    for difference in &differences {
        console.print_line(difference)?;
    }
    Ok(Exit::Done)
}
