//! The node program.

use std::{env, fs, process::ExitCode};

use getopts::Options;
use tamarackdock_config::{Settings, reader};
use tamarackdock_node::{Node, log, runtime};

const USAGE: &str = "Usage: tamarackdock --config FILE [--check]";
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, JSON with comments", "FILE");
    options.optflag("", "check", "only check the settings file");
    options.optflag("V", "version", "print the version");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    match matches.opt_str("config") {
        _ if matches.opt_present("help") => print(&options.usage(USAGE)),
        _ if matches.opt_present("version") => print(env!("CARGO_PKG_VERSION")),
        None => usage_error("`--config` is missing"),
        Some(path) => match read(&path) {
            Ok(_) if matches.opt_present("check") => print(&format!("`{path}` is valid")),
            Ok(settings) => run(settings),
            Err(error) => invalid(&error),
        },
    }
}

fn print(text: &str) -> ExitCode {
    println!("{text}");
    ExitCode::SUCCESS
}

fn usage_error(message: &str) -> ExitCode {
    eprintln!("tamarackdock: {message}\n{USAGE}");
    ExitCode::from(EXIT_USAGE)
}

fn invalid(message: &str) -> ExitCode {
    eprintln!("tamarackdock: {}", message.trim_end());
    ExitCode::from(EXIT_USAGE)
}

fn read(path: &str) -> Result<Settings, String> {
    let bytes = fs::read(path).map_err(|error| format!("can't read `{path}`: {error}"))?;
    reader::settings(path, &bytes).map_err(|report| report.to_string())
}

fn run(settings: Settings) -> ExitCode {
    let log = log::root(settings.log);
    let Ok(mut runtime) = runtime::build() else {
        return ExitCode::FAILURE;
    };
    runtime.block_on(async move {
        match Node::new(settings, log.clone()).start() {
            Ok(running) => {
                println!("{}", serde_json::json!(running.addresses()));
                match running.serve().await {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(_) => ExitCode::FAILURE,
                }
            }
            Err(error) => {
                slog::error!(log, "node: can't start"; "error" => %error);
                ExitCode::FAILURE
            }
        }
    })
}
