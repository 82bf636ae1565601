//! End-to-end tests under failures: routers and agents as separate processes, with stand-ins for
//! the platform and the endpoints.

mod bundles;
mod groups;
mod input;
mod leaving;
mod once;
mod outage;
mod serve;

use std::time::Duration;

use testkit::{Answer, Chat, Fleet, FleetPlan};

/// The program under test.
const BINARY: &str = env!("CARGO_BIN_EXE_runrail");

/// Starts a fleet that serves the test bundle.
fn serving(plan: &FleetPlan) -> Fleet {
    Fleet::serving(BINARY, plan)
}

/// Sends a request again and again until it is answered.
fn answered(fleet: &Fleet, router: &str, call: &Chat) -> Answer {
    let mut answer = Answer::default();
    let done = testkit::until(testkit::LONG, || {
        answer = fleet.chat(router, call);
        if !answer.is_answered() {
            std::thread::sleep(Duration::from_millis(50));
        }
        answer.is_answered()
    });
    assert!(done, "no answer: {answer:?}");
    answer
}

/// Asserts that no prompt of `once` ran more than once.
fn assert_at_most_once(fleet: &Fleet, once: &[&str]) {
    let runs = fleet.fabric.runs();
    for prompt in once {
        let count = runs.iter().filter(|r| r.prompt == **prompt).count();
        assert!(count <= 1, "{prompt:?} ran {count} times: {runs:?}");
    }
}

/// Text of a complete answer of the stand-in engine.
fn whole(prompt: &str, pieces: u64) -> String {
    let words: Vec<_> = prompt.split_whitespace().collect();
    (0..pieces)
        .map(|i| format!("{}{i} ", words[i as usize % words.len()]))
        .collect()
}
