use serde_json::json;
use tamarackdock_config::reader::{self, Problem, Report};

use super::file;
use crate::{Console, Error, Exit, arguments::Arguments};

/// Checks a deployment file, or with `--settings` a settings file, and prints all errors.
pub(crate) fn run(arguments: &Arguments, console: &mut Console<'_>) -> Result<Exit, Error> {
    let path = arguments.positional(0);
    let bytes = file::read(path)?;
    let report = if arguments.has("settings") {
        reader::settings(path, &bytes).err()
    } else {
        reader::deployment(path, &bytes).err()
    };
    match report {
        report if arguments.wants_json() => print_json(path, report.as_ref(), console),
        Some(report) => Err(report.into()),
        None => {
            console.print_line(format_args!("`{path}` is valid"))?;
            Ok(Exit::Done)
        }
    }
}

fn print_json(
    path: &str,
    report: Option<&Report>,
    console: &mut Console<'_>,
) -> Result<Exit, Error> {
    let to_json = |problem: &Problem| {
        json!({
            "line": problem.position.line,
            "column": problem.position.column,
            "path": problem.path,
            "message": problem.kind.to_string(),
            "remedy": problem.kind.remedy(),
        })
    };
    let errors: Vec<_> = report.iter().flat_map(|report| report.problems()).map(to_json).collect();
    console.print_json(&json!({"file": path, "valid": report.is_none(), "errors": errors}))?;
    Ok(if report.is_none() { Exit::Done } else { Exit::Invalid })
}
