//! The server program, which runs a node or a gateway.

use std::{env, fs, process::ExitCode, rc::Rc};

use getopts::Options;
use tamarackdock_adapter::{PlatformFormat, Store};
use tamarackdock_config::{Settings, reader};
use tamarackdock_gateway::{
    Node as Gateway, clock::StoreClock, settings::Settings as GatewaySettings, telemetry::Output,
};
use tamarackdock_node::{Node, log, runtime};

const USAGE: &str = "Usage: tamarackdock (--config FILE | --gateway FILE) [--check]";
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("c", "config", "settings file, JSON with comments", "FILE");
    options.optopt(
        "g",
        "gateway",
        "settings file of a gateway, whose targets register in the platform's store",
        "FILE",
    );
    options.optflag("", "check", "only check the settings file");
    options.optflag("V", "version", "print the version");
    options.optflag("h", "help", "print this help");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    let check = matches.opt_present("check");
    match (matches.opt_str("config"), matches.opt_str("gateway")) {
        _ if matches.opt_present("help") => print(&options.usage(USAGE)),
        _ if matches.opt_present("version") => print(env!("CARGO_PKG_VERSION")),
        (None, None) => usage_error("`--config` or `--gateway` is missing"),
        (Some(_), Some(_)) => usage_error("`--config` and `--gateway` exclude each other"),
        (None, Some(path)) => match GatewaySettings::read(&path) {
            Ok(_) if check => print(&format!("`{path}` is valid")),
            Ok(settings) => run_gateway(settings, &path),
            Err(error) => invalid_settings(&error.to_string()),
        },
        (Some(path), None) => match read_settings(&path) {
            Ok(_) if check => print(&format!("`{path}` is valid")),
            Ok(settings) => run(settings),
            Err(error) => invalid_settings(&error),
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

fn invalid_settings(message: &str) -> ExitCode {
    eprintln!("tamarackdock: {}", message.trim_end());
    ExitCode::from(EXIT_USAGE)
}

fn read_settings(path: &str) -> Result<Settings, String> {
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

fn run_gateway(settings: GatewaySettings, path: &str) -> ExitCode {
    let Ok(mut runtime) = runtime::build() else {
        return ExitCode::FAILURE;
    };
    let output = Output::default();
    let log = output.logger();
    let result = runtime.block_on(async {
        let clock = Rc::new(StoreClock::default());
        let store = Rc::new(Store::new(settings.store, clock.clone(), output.logger()));
        let node = Gateway::new(settings, Rc::new(PlatformFormat), store, clock, output.clone())?;
        node.run(path).await
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            slog::error!(log, "node: can't start"; "error" => %error);
            output.flush_now();
            ExitCode::FAILURE
        }
    }
}
