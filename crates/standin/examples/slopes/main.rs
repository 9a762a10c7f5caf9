//! Measures what nodes cost without calls, against the number of nodes and of
//! targets. Each line of the output is one JSON object. See `docs/measurements.md`.

mod fleet;
mod measure;

use std::{env, error::Error, process::ExitCode};

use getopts::Options;

const SEED: u64 = 7;
const USAGE: &str = "Usage: slopes [--seed N]";
/// Numbers of nodes and of targets.
const SIZES: [(usize, usize); 6] = [(3, 15), (6, 15), (12, 15), (24, 15), (3, 60), (3, 240)];

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the stand-ins", "N");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("slopes: {error}\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    let seed = matches.opt_get_default("seed", SEED).unwrap_or(SEED);
    match run(seed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(seed: u64) -> Result<(), Box<dyn Error>> {
    for (nodes, targets) in SIZES {
        println!("{}", measure::measure(seed, nodes, targets)?);
    }
    Ok(())
}
