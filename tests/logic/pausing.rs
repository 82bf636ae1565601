//! Preemption: an urgent request takes the slot of one of class `drafting`, which resumes at
//! its offset later.

use runrail::logic::agent::AgentParams;
use runrail::logic::{Event, RunResult};
use runrail::message::AttemptEnd;

use crate::fixture::{ends, started, stopped, Agent};

fn two_slots() -> AgentParams {
    AgentParams {
        slots: 2,
        ..AgentParams::default()
    }
}

#[test]
fn drafting_is_paused_for_urgent_work_and_resumed_at_its_offset() {
    let mut agent = Agent::open(two_slots());
    assert_eq!(started(&agent.order(1, "drafting", |_| {})), [(1, 0)]);
    assert_eq!(started(&agent.order(2, "urgent", |_| {})), [(2, 0)]);
    agent.piece(1, "one ");
    agent.piece(1, "two ");
    let effects = agent.order(3, "urgent", |_| {});
    assert_eq!(stopped(&effects), [1]);
    assert_eq!(started(&agent.end(1, RunResult::Cancelled)), [(3, 0)]);
    assert_eq!(started(&agent.end(2, RunResult::Complete(200))), [(1, 2)]);
}

#[test]
fn a_paused_request_is_never_reported_as_not_run() {
    let mut agent = Agent::open(two_slots());
    agent.order(1, "drafting", |o| o.left_ms = 1_000);
    agent.order(2, "urgent", |_| {});
    agent.order(3, "urgent", |_| {});
    agent.end(1, RunResult::Cancelled);
    agent.now += 1_500;
    let ended = ends(&agent.feed(Event::Tick));
    assert_eq!(ended, [(1, AttemptEnd::Broken)]);
}

#[test]
fn a_slot_reserved_for_urgent_work_is_not_given_to_drafting() {
    let mut agent = Agent::open(two_slots());
    assert_eq!(started(&agent.order(1, "drafting", |_| {})), [(1, 0)]);
    assert_eq!(started(&agent.order(2, "drafting", |_| {})), []);
    assert_eq!(started(&agent.order(3, "urgent", |_| {})), [(3, 0)]);
}
