//! Runs three nodes in two data centres with stand-ins for six engines and a plain
//! service, all in one process. A script injects the faults that operators see in
//! production while callers use the nodes. At the end, the example prints what the
//! stand-ins counted.

mod plain_service_caller;
mod script;
mod streaming_caller;
mod summary;

use std::{env, process::ExitCode};

use getopts::Options;

const SEED: u64 = 7;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "json", "print one JSON line instead of the table");
    options.optopt("", "seed", "seed of the stand-ins", "N");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("demo: {error}\n{}", options.usage("Usage: demo [--json] [--seed N]"));
            return ExitCode::from(2);
        }
    };
    let seed = matches.opt_get_default("seed", SEED).unwrap_or(SEED);
    let summary = match script::run(seed) {
        Ok(summary) => summary,
        Err(error) => {
            eprintln!("demo: the run failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("json") {
        println!("{}", serde_json::json!(summary));
    } else {
        println!("{summary}");
    }
    if summary.violated().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
