//! Measures the effect of each mechanism of the policy: runs the same days of the benchmark with
//! the same seeds, with all mechanisms and with one of them switched off at a time.
//!
//! Run it in a scratch clone: it writes the setting that switches a mechanism off into the settings
//! template there, and restores the template at the end.
//!
//! ```text
//! cargo run -p testkit --bin ablate -- --bench PATH --sites A.toml,B.toml --seeds 4
//! ```
//!
//! `--only a,b` restricts it to some mechanisms.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::sync::Mutex;

use pico_args::Arguments;

/// The settings template of the deployment.
const TEMPLATE: &str = "deploy/router.ini";

/// Days that the benchmark is run with.
const DAYS: [&str; 6] = [
    "quiet-1",
    "trouble-1",
    "scale-1",
    "trouble-2",
    "scale-2",
    "trouble-3",
];

/// Parallel runs of the benchmark.
const PARALLEL_RUNS: usize = 6;

/// Mechanisms that can be switched off, as the settings name them.
const MECHANISMS: [&str; 15] = [
    "reading-bound",
    "limits",
    "trades",
    "second-models",
    "spares",
    "silence",
    "early-looks",
    "resume-wait",
    "news",
    "demand",
    "freeing",
    "admission",
    "capacity",
    "trend",
    "returns",
];

/// The `worth` that the benchmark prints, by day and seed.
type Worths = BTreeMap<(String, u64), f64>;

fn main() -> ExitCode {
    match run(Arguments::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("ablate: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(mut args: Arguments) -> Result<(), String> {
    let text = |e: pico_args::Error| e.to_string();
    let bench: String = args.value_from_str("--bench").map_err(text)?;
    let sites: String = args.value_from_str("--sites").map_err(text)?;
    let seeds: u64 = args.value_from_str("--seeds").map_err(text)?;
    let only: Option<String> = args.opt_value_from_str("--only").map_err(text)?;
    let only = only.as_deref().map(|names| names.split(',').collect());
    let mechanisms = select_mechanisms(only)?;
    let template = std::fs::read_to_string(TEMPLATE).map_err(|e| format!("{TEMPLATE}: {e}"))?;
    let sites: Vec<&str> = sites.split(',').collect();
    let result = table(&bench, &sites, seeds, &mechanisms, &template);
    std::fs::write(TEMPLATE, template).map_err(|e| format!("{TEMPLATE}: {e}"))?;
    result
}

/// The mechanisms to switch off: those named, or all.
fn select_mechanisms(only: Option<Vec<&str>>) -> Result<Vec<&'static str>, String> {
    let Some(names) = only else {
        return Ok(MECHANISMS.to_vec());
    };
    let find = |name: &str| {
        let found = MECHANISMS.iter().find(|known| **known == name);
        found.copied().ok_or_else(|| {
            let known = MECHANISMS.join(", ");
            format!("--only: found {name:?}, expected some of {known}")
        })
    };
    names.into_iter().map(find).collect()
}

/// Prints a row for each mechanism: by site, the mean of the worth lost without it and the standard
/// error of that mean.
fn table(
    bench: &str,
    sites: &[&str],
    seeds: u64,
    mechanisms: &[&str],
    template: &str,
) -> Result<(), String> {
    let baseline = run_sites(bench, sites, seeds)?;
    let names = sites.iter().map(|s| stem(s)).collect::<Vec<_>>();
    println!("| switched off | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(sites.len()));
    let means = baseline.iter().map(|w| format!("{:.3}", mean(w.values())));
    println!(
        "| nothing: worth | {} |",
        means.collect::<Vec<_>>().join(" | ")
    );
    for mechanism in mechanisms {
        let text = format!("{template}\n[policy]\noff = {mechanism}\n");
        std::fs::write(TEMPLATE, text).map_err(|e| format!("{TEMPLATE}: {e}"))?;
        let off = run_sites(bench, sites, seeds)?;
        let cells = baseline
            .iter()
            .zip(&off)
            .map(|(baseline, off)| cell(baseline, off));
        println!(
            "| {mechanism} | {} |",
            cells.collect::<Vec<_>>().join(" | ")
        );
    }
    Ok(())
}

fn stem(site: &str) -> String {
    let stem = Path::new(site).file_stem();
    stem.map_or_else(|| site.to_string(), |s| s.to_string_lossy().to_string())
}

fn mean<'a>(values: impl Iterator<Item = &'a f64>) -> f64 {
    let values: Vec<f64> = values.copied().collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Mean of the worth lost without the mechanism and its standard error, over the pairs of day and
/// seed that have a worth both with and without it.
fn cell(baseline: &Worths, off: &Worths) -> String {
    let losses: Vec<f64> = baseline
        .iter()
        .filter_map(|(key, with)| Some(with - off.get(key)?))
        .collect();
    let average = mean(losses.iter());
    let spread: f64 = losses.iter().map(|l| (l - average).powi(2)).sum();
    let n = losses.len().max(2) as f64;
    let error = (spread / (n - 1.0) / n).sqrt();
    format!("{average:+.3} ± {error:.3}")
}

fn run_sites(bench: &str, sites: &[&str], seeds: u64) -> Result<Vec<Worths>, String> {
    let built = Command::new(bench).arg("build").output();
    built.map_err(|e| format!("{bench}: {e}"))?;
    Ok(sites
        .iter()
        .map(|site| run_all(bench, site, seeds))
        .collect())
}

/// Runs every day with every seed; a run that prints no worth is reported and left out.
fn run_all(bench: &str, site: &str, seeds: u64) -> Worths {
    let days = DAYS.iter().map(|d| d.to_string());
    let jobs: Vec<_> = days
        .flat_map(|day| (1..=seeds).map(move |seed| (day.clone(), seed)))
        .collect();
    let (queue, worths) = (Mutex::new(jobs), Mutex::new(Worths::new()));
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| loop {
                let Some((day, seed)) = queue.lock().ok().and_then(|mut q| q.pop()) else {
                    return;
                };
                match run_one(bench, site, &day, seed) {
                    Some(worth) => {
                        if let Ok(mut worths) = worths.lock() {
                            worths.insert((day, seed), worth);
                        }
                    }
                    None => eprintln!("{site} {day} --seed {seed}: the benchmark printed no worth"),
                }
            });
        }
    });
    worths.into_inner().unwrap_or_default()
}

fn run_one(bench: &str, site: &str, day: &str, seed: u64) -> Option<f64> {
    let seed = seed.to_string();
    let why = "trial: ablation";
    let output = Command::new(bench)
        .args([
            "run", site, day, "--seed", &seed, "--no-cpu", "--jobs", "1", "--why", why,
        ])
        .output()
        .ok()?;
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().find(|l| l.starts_with("worth "))?;
    line.split_whitespace().nth(1)?.parse().ok()
}
