//! The whole system as separate processes around stand-ins, under failure.

mod serve;

use testkit::{Fleet, FleetPlan};

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_runrail");

/// A fleet that serves the test bundle.
fn serving(plan: &FleetPlan) -> Fleet {
    Fleet::serving(BINARY, plan)
}
