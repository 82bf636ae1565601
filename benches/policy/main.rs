//! Policy under load and faults, beside baselines in the same run.
//!
//! The real reducers of routers and agents run on a virtual clock: their
//! decisions are measured, not the machine. `cargo bench --bench policy` prints
//! the table of docs/MEASUREMENTS.md; each row is the median of three seeds
//! with the lowest and the highest beside it.

mod load;
mod repair;
mod report;
mod scenario;
mod world;

use scenario::Scenario;

fn main() {
    // A word on the command line picks the scenarios whose name holds it.
    let wanted = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let wanted = wanted.unwrap_or_default();
    println!("## Load\n");
    report::head();
    for scenario in Scenario::all() {
        if scenario.name.contains(&wanted) {
            report::row(&scenario);
        }
    }
    println!("\n## Repair\n");
    repair::run();
}
