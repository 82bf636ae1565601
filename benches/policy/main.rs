//! Compares routing, scheduling and repair with baselines, under load and faults.
//!
//! The state machines of routers and agents and the planner's `plan` function run on
//! simulated time, so the results depend on their decisions and not on the speed of the
//! machine.
//! `cargo bench --bench policy` prints the tables of docs/MEASUREMENTS.md. In the load
//! table a value is the median of three seeds, with the lowest and the highest where they
//! differ; `unknown or failed` and `wrong` are sums over the seeds. In the repair table a
//! value is the mean of five seeds.

mod load;
mod repair;
mod report;
mod scenario;
mod world;

use scenario::Scenario;

fn main() {
    // The first argument without a leading dash selects the scenarios whose name contains it.
    let filter = std::env::args().skip(1).find(|a| !a.starts_with('-'));
    let filter = filter.unwrap_or_default();
    println!("## Load\n");
    report::print_header();
    for scenario in Scenario::all() {
        if scenario.name.contains(&filter) {
            report::print_row(&scenario);
        }
    }
    println!("\n## Repair\n");
    repair::run();
}
