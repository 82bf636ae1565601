//! Plays faults that are drawn from a seed against a fleet of real processes, and judges what
//! callers, endpoints and the processes' figures show.
//!
//! ```text
//! cargo build && cargo run -p testkit --bin soak -- --seed 7 --minutes 1 --routers 5 --engines 12
//! ```

use std::path::PathBuf;
use std::process::ExitCode;

use pico_args::Arguments;
use testkit::soak::{judge, soak, write_report, Plan, SoakSettings};

const HELP: &str = "soak [--seed N] [--seeds N] [--seconds S | --minutes M] [--routers R] \
                    [--engines E] [--dir DIR]\n\
                    --seeds plays so many seeds from the first one on; each keeps its report, \
                    plots and logs in a folder of DIR";

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

/// True where every seed has held.
fn run(mut args: Arguments) -> Result<bool, Box<dyn std::error::Error>> {
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(true);
    }
    let usual = SoakSettings::default();
    let minutes: Option<u64> = args.opt_value_from_str("--minutes")?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds")?;
    let first: u64 = args.opt_value_from_str("--seed")?.unwrap_or(usual.seed);
    let seeds: u64 = args.opt_value_from_str("--seeds")?.unwrap_or(1);
    let dir: PathBuf = args.opt_value_from_str("--dir")?.unwrap_or(usual.dir);
    let settings = SoakSettings {
        seconds: seconds.or(minutes.map(|m| m * 60)).unwrap_or(usual.seconds),
        routers: args
            .opt_value_from_str("--routers")?
            .unwrap_or(usual.routers),
        engines: args
            .opt_value_from_str("--engines")?
            .unwrap_or(usual.engines),
        dir: dir.clone(),
        ..usual
    };
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(format!("unknown: {rest:?}\n{HELP}").into());
    }
    let mut held = true;
    for seed in first..first + seeds {
        let settings = SoakSettings {
            seed,
            dir: dir.join(format!("seed-{seed}")),
            ..settings.clone()
        };
        held &= play(&settings)?;
    }
    Ok(held)
}

fn play(settings: &SoakSettings) -> std::io::Result<bool> {
    let plan = Plan::draw(settings);
    println!("seed {}:\n{plan}", settings.seed);
    let record = soak(settings, &plan, |line| println!("{line}"));
    let findings = judge(&record);
    println!("{}", write_report(settings, &plan, &record, &findings)?);
    Ok(findings.is_empty())
}
