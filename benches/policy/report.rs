//! Prints the load table.

use crate::scenario::Scenario;
use crate::world::{Outcomes, Simulation};

const SEEDS: [u64; 3] = [1, 2, 3];

pub fn print_header() {
    println!(
        "| scenario | policy | answered % | urgent answered % | small accounts answered % | urgent first piece p50/p95/p99 ms | drafting p50/p95 ms | refused with retry time % | unknown or failed | wrong | store calls/s | control B/s per node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

pub fn print_row(scenario: &Scenario) {
    let threads: Vec<_> = SEEDS
        .iter()
        .map(|seed| {
            let (scenario, seed) = (*scenario, *seed);
            std::thread::spawn(move || Simulation::new(scenario, seed).run())
        })
        .collect();
    let runs: Vec<_> = threads
        .into_iter()
        .map(|t| t.join().expect("a simulation thread panicked"))
        .collect();
    let percent = |part: fn(&Outcomes) -> u64, total: fn(&Outcomes) -> u64| {
        median_range(&runs, |o| part(o) * 1_000 / total(o).max(1), true)
    };
    let latency = |values: fn(&Outcomes) -> &Vec<u64>, rank: usize| {
        median_range(&runs, |o| percentile(values(o), rank), false)
    };
    let sum = |value: fn(&Outcomes) -> u64| runs.iter().map(value).sum::<u64>();
    // A run lasts 90 s and has 33 nodes: 3 routers and 30 agents.
    println!(
        "| {} | {} | {} | {} | {} | {} / {} / {} | {} / {} | {} | {} | {} | {} | {} |",
        scenario.name,
        scenario.policy.name,
        percent(|o| o.answered, |o| o.sent),
        percent(|o| o.urgent_answered, |o| o.urgent_sent),
        percent(|o| o.small_answered, |o| o.small_sent),
        latency(|o| &o.urgent_first, 50),
        latency(|o| &o.urgent_first, 95),
        latency(|o| &o.urgent_first, 99),
        latency(|o| &o.drafting_first, 50),
        latency(|o| &o.drafting_first, 95),
        percent(|o| o.retry_hinted, |o| o.sent),
        sum(|o| o.other_failures),
        sum(|o| o.wrong),
        median_range(&runs, |o| o.store_calls / 90, false),
        median_range(&runs, |o| o.control_bytes / 90 / 33, false),
    );
}

fn percentile(values: &[u64], rank: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * rank / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(0)
}

/// Formats the median of the runs, with the lowest and the highest where they differ. With
/// `tenths` the values are in tenths and get one decimal.
fn median_range(runs: &[Outcomes], value: impl Fn(&Outcomes) -> u64, tenths: bool) -> String {
    let mut values: Vec<_> = runs.iter().map(value).collect();
    values.sort_unstable();
    let format_value = |v: u64| {
        if tenths {
            format!("{}.{}", v / 10, v % 10)
        } else {
            v.to_string()
        }
    };
    let median = values[values.len() / 2];
    if values[0] == values[values.len() - 1] {
        return format_value(median);
    }
    format!(
        "{} ({}-{})",
        format_value(median),
        format_value(values[0]),
        format_value(values[values.len() - 1])
    )
}
