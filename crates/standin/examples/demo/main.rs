//! The main job on stand-ins in one process: three nodes, two data centres,
//! six engines and a plain service, under the faults that operators see.

mod live;
mod parcels;
mod script;
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
            eprintln!("demo: can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("json") {
        println!("{}", serde_json::json!(summary));
    } else {
        println!("{summary}");
    }
    if summary.broken().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
