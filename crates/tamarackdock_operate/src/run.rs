use crate::{
    Console, Error, Exit,
    arguments::Arguments,
    command::{change, check, diff, dump, explain, key, metrics, show, submit},
    spec::{self, Spec},
};

/// Runs a command line, given without the name of the program, and returns the exit code.
pub fn run(arguments: &[String], console: &mut Console<'_>) -> Exit {
    match dispatch(arguments, console) {
        Ok(exit) => exit,
        Err(error) => {
            let text = error.to_string();
            let _ = writeln!(console.errors, "tamarackctl: {}", text.trim_end());
            error.exit_code()
        }
    }
}

fn dispatch(arguments: &[String], console: &mut Console<'_>) -> Result<Exit, Error> {
    let Some(spec) = Spec::find(arguments) else {
        return run_without_command(arguments, console);
    };
    let arguments = Arguments::parse(spec, &arguments[spec.words.len()..])?;
    if arguments.has("help") {
        console.print_line(spec.help())?;
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
        ["explain"] => explain::run(&arguments, console),
        _ => change::run(&arguments, console),
    }
}

/// Handles a command line that begins with no command: options of the program, or an error.
fn run_without_command(args: &[String], console: &mut Console<'_>) -> Result<Exit, Error> {
    match args.first().map(String::as_str) {
        Some("--help" | "-h") => console.print_line(spec::help())?,
        Some("--version" | "-V") => console.print_line(env!("CARGO_PKG_VERSION"))?,
        Some(_) if args.iter().any(|text| text == "--help") => console.print_line(spec::help())?,
        first => {
            let message = first.map_or_else(
                || "no command is given".into(),
                |_| format!("`{}` is not a command", args.join(" ")),
            );
            return Err(Error::Usage { command: String::new(), message });
        }
    }
    Ok(Exit::Done)
}
