//! Rows of the table.

use crate::scenario::Scenario;
use crate::world::{Outcomes, World};

const SEEDS: [u64; 3] = [1, 2, 3];

pub fn head() {
    println!(
        "| scenario | policy | answered % | urgent answered % | small accounts answered % | urgent first piece p50/p95/p99 ms | drafting p50/p95 ms | refused with hint % | unknown | wrong | service calls/s | control B/s a node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
}

pub fn row(scenario: &Scenario) {
    let threads: Vec<_> = SEEDS
        .iter()
        .map(|seed| {
            let (scenario, seed) = (*scenario, *seed);
            std::thread::spawn(move || World::new(scenario, seed).run())
        })
        .collect();
    let runs: Vec<_> = threads
        .into_iter()
        .map(|t| t.join().expect("a run"))
        .collect();
    let part = |a: fn(&Outcomes) -> u64, b: fn(&Outcomes) -> u64| {
        spread(&runs, |o| a(o) * 1_000 / b(o).max(1), true)
    };
    let quantile = |values: fn(&Outcomes) -> &Vec<u64>, q: usize| {
        spread(&runs, |o| percentile(values(o), q), false)
    };
    let sum = |value: fn(&Outcomes) -> u64| runs.iter().map(value).sum::<u64>();
    println!(
        "| {} | {} | {} | {} | {} | {} / {} / {} | {} / {} | {} | {} | {} | {} | {} |",
        scenario.name,
        scenario.policy.name,
        part(|o| o.answered, |o| o.sent),
        part(|o| o.urgent_answered, |o| o.urgent_sent),
        part(|o| o.small_answered, |o| o.small_sent),
        quantile(|o| &o.urgent_first, 50),
        quantile(|o| &o.urgent_first, 95),
        quantile(|o| &o.urgent_first, 99),
        quantile(|o| &o.draft_first, 50),
        quantile(|o| &o.draft_first, 95),
        part(|o| o.hinted, |o| o.sent),
        sum(|o| o.unknown),
        sum(|o| o.wrong),
        spread(&runs, |o| o.store_calls / 90, false),
        spread(&runs, |o| o.control_bytes / 90 / 33, false),
    );
}

fn percentile(values: &[u64], q: usize) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() * q / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).copied().unwrap_or(0)
}

/// Median of the seeds, with the lowest and the highest where they differ.
fn spread(runs: &[Outcomes], value: impl Fn(&Outcomes) -> u64, tenths: bool) -> String {
    let mut values: Vec<_> = runs.iter().map(value).collect();
    values.sort_unstable();
    let show = |v: u64| {
        if tenths {
            format!("{}.{}", v / 10, v % 10)
        } else {
            v.to_string()
        }
    };
    let middle = values[values.len() / 2];
    if values[0] == values[values.len() - 1] {
        return show(middle);
    }
    format!(
        "{} ({}-{})",
        show(middle),
        show(values[0]),
        show(values[values.len() - 1])
    )
}
