//! Runs the same seeded workload through nodes with different policies and prints
//! one JSON object per policy. See `docs/measurements.md`.

mod accounts;
mod attempts;
mod cost;
mod events;
mod finished_run;
mod histogram;
mod measurements;
mod plot;
mod policy;
mod profile;
mod run;
mod usage_reports;
mod workload;

use std::{env, error::Error, process::ExitCode};

use getopts::{Matches, Options};

use measurements::Measurements;
use profile::Profile;

const SEED: u64 = 7;
const USAGE: &str = "Usage: measure [--json] [--seed N] [--scenario NAME] [--policy NAME]... \
                     [--plot FILE.svg]";
const DEFAULT_SCENARIO: &str = "knotwise";
const DEFAULT_POLICIES: [&str; 2] = ["baseline", "current"];

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "json", "print one JSON line per policy instead of indented JSON");
    options.optopt("", "seed", "seed of the workload and of the stand-ins", "N");
    options.optopt("", "scenario", "`knotwise` or `derwent`", "NAME");
    let names = "`baseline`, `current`, or the baseline with one policy: `routing`, `admission`, \
                 `stragglers`, `loading`, `spending`";
    options.optmulti("", "policy", names, "NAME");
    options.optopt("", "plot", "draw the latency of app calls by quantile", "FILE.svg");
    let matches = match options.parse(env::args().skip(1)) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("measure: {error}\n{}", options.usage(USAGE));
            return ExitCode::from(2);
        }
    };
    match measure(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure(matches: &Matches) -> Result<(), Box<dyn Error>> {
    let seed = matches.opt_get_default("seed", SEED)?;
    let scenario = matches.opt_str("scenario").unwrap_or(DEFAULT_SCENARIO.into());
    let profile = Profile::named(&scenario).ok_or_else(|| format!("no scenario `{scenario}`"))?;
    let mut names = matches.opt_strs("policy");
    if names.is_empty() {
        names = DEFAULT_POLICIES.map(String::from).into();
    }
    let mut results: Vec<Measurements> = Vec::new();
    for name in names {
        let policy = policy::named(&name).ok_or_else(|| format!("no policy `{name}`"))?;
        let measurements = run::run(&profile, &name, policy, seed)?;
        if matches.opt_present("json") {
            println!("{}", serde_json::to_string(&measurements)?);
        } else {
            println!("{}", serde_json::to_string_pretty(&measurements)?);
        }
        results.push(measurements);
    }
    if let Some(path) = matches.opt_str("plot") {
        plot::draw(&path, &results)?;
    }
    Ok(())
}
