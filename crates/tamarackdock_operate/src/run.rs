use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    command::{change, check, diff, dump, key, metrics, show, submit},
    spec::{self, Spec},
};

/// Runs a command line, without the name of the program.
pub fn run(arguments: &[String], console: &mut Console<'_>) -> Exit {
    match dispatch(arguments, console) {
        Ok(exit) => exit,
        Err(error) => {
            let text = error.to_string();
            let _ = writeln!(console.errors, "tamarackctl: {}", text.trim_end());
            error.exit()
        }
    }
}

fn dispatch(given: &[String], console: &mut Console<'_>) -> Result<Exit, Error> {
    let Some(spec) = Spec::find(given) else {
        return top(given, console);
    };
    let arguments = Arguments::parse(spec, &given[spec.words.len()..])?;
    if arguments.has("help") {
        console.line(spec.help())?;
        return Ok(Exit::Done);
    }
    match spec.words {
        ["check"] => check::run(&arguments, console),
        ["submit" | "roll-forward"] => submit::run(&arguments, console),
        ["diff"] => diff::run(&arguments, console),
        ["show"] => show::run(&arguments, console),
        ["key", "new"] => key::new(&arguments, console),
        ["key", "hash"] => key::hash(&arguments, console),
        ["dump"] => dump::run(&arguments, console),
        ["metrics"] => metrics::run(&arguments, console),
        _ => change::run(&arguments, console),
    }
}

/// Handles a command line without a command.
fn top(given: &[String], console: &mut Console<'_>) -> Result<Exit, Error> {
    match given.first().map(String::as_str) {
        Some("--help" | "-h") => console.line(spec::help())?,
        Some("--version" | "-V") => console.line(env!("CARGO_PKG_VERSION"))?,
        Some(_) if given.iter().any(|text| text == "--help") => console.line(spec::help())?,
        first => {
            let message = first.map_or_else(
                || "no command is given".into(),
                |_| format!("`{}` is no command", given.join(" ")),
            );
            return Err(Error::Usage { command: String::new(), message });
        }
    }
    Ok(Exit::Done)
}
