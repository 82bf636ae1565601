//! Injects faults, drawn from a seed, into a fleet of real processes, and checks the outcomes of
//! requests, the runs at endpoints and the resource usage of the processes.
//!
//! ```text
//! cargo build && cargo run -p testkit --bin soak -- --seed 7 --minutes 1 --routers 5 --engines 12
//! ```

use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use testkit::soak::{judge, soak, write_report, Plan, SoakSettings};

const HELP: &str = "soak [--seed N] [--seeds N] [--seconds S | --minutes M] [--routers R] \
                    [--engines E] [--domains D] [--faults NAME,...] [--dir DIR]\n\
                    --faults injects only the faults of the plan with these names, as in the report; \
                    --seeds runs that many seeds, beginning with --seed; the report, plots and \
                    logs of each are written to a folder of its own in DIR";

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("soak: {why}");
            ExitCode::from(2)
        }
    }
}

/// Runs all seeds; returns whether every one passed all checks.
fn run(mut args: Arguments) -> Result<bool, Box<dyn std::error::Error>> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(true);
    }
    let defaults = SoakSettings::default();
    let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds")?;
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(defaults.seed);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let dir: PathBuf = args.opt_value_from_str("--dir")?.unwrap_or(defaults.dir);
    let settings = SoakSettings {
        seconds: seconds
            .or(minutes.map(|m| m * 60))
            .unwrap_or(defaults.seconds),
        routers: args
            .opt_value_from_str("--routers")?
            .unwrap_or(defaults.routers),
        engines: args
            .opt_value_from_str("--engines")?
            .unwrap_or(defaults.engines),
        domains: args
            .opt_value_from_str("--domains")?
            .unwrap_or(defaults.domains),
        dir: dir.clone(),
        ..defaults
    };
    let only: Option<String> = args.opt_value_from_str("--faults")?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown arguments: {rest:?}\n{HELP}").into());
    }
    let mut passed = true;
    for seed in first..first + seeds {
        let settings = SoakSettings {
            seed,
            dir: dir.join(format!("seed-{seed}")),
            ..settings.clone()
        };
        passed &= run_seed(&settings, only.as_deref())?;
    }
    Ok(passed)
}

/// Runs one seed, with all faults of its plan or those with some names, and writes its report; returns
/// whether it passed all checks.
fn run_seed(settings: &SoakSettings, only: Option<&str>) -> std::io::Result<bool> {
    let mut plan = Plan::draw(settings);
    if let Some(names) = only {
        let is_kept = |name: &str| names.split(',').any(|kept| kept == name);
        plan.faults.retain(|planned| is_kept(planned.fault.name()));
    }
    println!("seed {}:\n{plan}", settings.seed);
    let record = soak(settings, &plan, |line| println!("{line}"));
    let findings = judge(&record);
    println!("{}", write_report(settings, &plan, &record, &findings)?);
    Ok(findings.is_empty())
}
