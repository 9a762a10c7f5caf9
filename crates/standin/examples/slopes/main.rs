//! Measures how CPU time, memory and traffic of nodes grow with the number of nodes
//! and of targets, without calls unless `--calls` gives a rate. Each line of the
//! output is one JSON object. See `docs/measurements.md`.

mod fleet;
mod measure;

use std::{env, error::Error, process::ExitCode};

use getopts::Options;

const SEED: u64 = 7;
const USAGE: &str = "Usage: slopes [--seed N] [--calls N] [--size NODES,TARGETS]...";
/// Numbers of nodes and of targets that are measured without `--size`.
const DEFAULT_SIZES: [(usize, usize); 6] =
    [(3, 15), (6, 15), (12, 15), (24, 15), (3, 60), (3, 240)];

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the stand-ins", "N");
    options.optopt("", "calls", "calls a second for each node, 0 by default", "N");
    options.optmulti("", "size", "size to measure instead of the default sizes", "NODES,TARGETS");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("slopes: {error}\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    let seed = matches.opt_get_default("seed", SEED).unwrap_or(SEED);
    let calls = matches.opt_get_default("calls", 0).unwrap_or(0);
    let given = matches.opt_strs("size");
    let sizes: Option<Vec<_>> = given.iter().map(|size| parse_size(size)).collect();
    let sizes = match sizes {
        Some(sizes) if sizes.is_empty() => DEFAULT_SIZES.to_vec(),
        Some(sizes) => sizes,
        None => {
            eprintln!("slopes: `--size` takes two numbers such as `3,15`\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(seed, calls, &sizes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_size(size: &str) -> Option<(usize, usize)> {
    let (nodes, targets) = size.split_once(',')?;
    Some((nodes.parse().ok()?, targets.parse().ok()?))
}

fn run(seed: u64, calls: u64, sizes: &[(usize, usize)]) -> Result<(), Box<dyn Error>> {
    for &(nodes, targets) in sizes {
        println!("{}", measure::measure(seed, nodes, targets, calls)?);
    }
    Ok(())
}
