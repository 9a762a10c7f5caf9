//! Measures the latency, CPU time and memory that one node adds to calls, with
//! engine stand-ins on loopback.
//! Each line of the output is one JSON object. See `docs/measurements.md`.

mod call_schedule;
mod latency;
mod load;
mod memory;
mod setup;
mod throughput;

use std::{env, error::Error, process::ExitCode};

use getopts::Options;

const SEED: u64 = 7;
const USAGE: &str = "Usage: bench [--only latency|throughput|memory] [--seed N]";
/// Concurrent calls, and calls per second of all callers together. Without a rate
/// the node is saturated and a call waits for all others: the added latency is then
/// the number of concurrent calls divided by the node's throughput.
const LOADS: [(usize, Option<u32>); 5] =
    [(1, None), (64, Some(RATE)), (512, Some(RATE)), (64, None), (512, None)];
const RATE: u32 = 5000;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "only", "run one part only", "PART");
    options.optopt("", "seed", "seed of the stand-ins", "N");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("bench: {error}\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    let seed = matches.opt_get_default("seed", SEED).unwrap_or(SEED);
    match run(seed, matches.opt_str("only").as_deref()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bench: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(seed: u64, only: Option<&str>) -> Result<(), Box<dyn Error>> {
    let is_selected = |part| only.is_none_or(|only| only == part);
    if is_selected("latency") {
        for (calls, rate) in LOADS {
            println!("{}", latency::measure(seed, rate, calls)?);
        }
    }
    if is_selected("throughput") {
        println!("{}", throughput::measure(seed)?);
    }
    if is_selected("memory") {
        println!("{}", memory::measure(seed)?);
    }
    Ok(())
}
