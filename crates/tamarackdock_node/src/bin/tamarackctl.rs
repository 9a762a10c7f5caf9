//! The command `tamarackctl`, by which operators inspect and change nodes.

use std::{env, io, process::ExitCode};

use tamarackdock_operate::{Console, run};

fn main() -> ExitCode {
    let arguments: Vec<_> =
        env::args_os().skip(1).map(|text| text.to_string_lossy().into_owned()).collect();
    let mut console = Console {
        input: &mut io::stdin().lock(),
        output: &mut io::stdout().lock(),
        errors: &mut io::stderr().lock(),
    };
    run(&arguments, &mut console).into()
}
