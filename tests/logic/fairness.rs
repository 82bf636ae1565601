//! Fair shares between client accounts of one class, and strict priority between classes.

use std::sync::Arc;

use runrail::logic::agent::AgentParams;
use runrail::logic::{Effect, LogCode, RunResult};
use runrail::message::{AttemptEnd, Refusal};

use crate::fixture::{ends, started, Agent};

fn slots(slots: u32) -> AgentParams {
    AgentParams {
        slots,
        ..AgentParams::default()
    }
}

#[test]
fn a_large_account_does_not_starve_a_small_one() {
    let mut agent = Agent::open(slots(1));
    agent.order(1, "urgent", |_| {});
    for number in 2..10 {
        agent.order(number, "urgent", |o| o.account = Arc::from("large"));
    }
    agent.order(10, "urgent", |o| o.account = Arc::from("small"));
    let mut order = Vec::new();
    let mut running = 1;
    for _ in 0..4 {
        let next = started(&agent.end(running, RunResult::Complete(200)));
        running = next[0].0;
        order.push(running);
    }
    assert!(
        order[..2].contains(&10),
        "the small account is starved: {order:?}"
    );
}

#[test]
fn shares_divide_a_class() {
    let mut agent = Agent::open(slots(1));
    agent.order(1, "urgent", |_| {});
    for number in 2..14 {
        let account = if number % 2 == 0 { "three" } else { "one" };
        agent.order(number, "urgent", |o| {
            o.account = Arc::from(account);
            o.share = if account == "three" { 3 } else { 1 };
        });
    }
    let mut three = 0;
    let mut running = 1;
    for _ in 0..8 {
        running = started(&agent.end(running, RunResult::Complete(200)))[0].0;
        three += u32::from(running % 2 == 0);
    }
    assert_eq!(three, 6, "three quarters of eight runs");
}

#[test]
fn urgent_work_goes_before_drafting_that_came_first() {
    let mut agent = Agent::open(slots(2));
    agent.order(1, "urgent", |_| {});
    agent.order(2, "urgent", |_| {});
    agent.order(3, "drafting", |_| {});
    agent.order(4, "urgent", |_| {});
    assert_eq!(started(&agent.end(1, RunResult::Complete(200))), [(4, 0)]);
}

#[test]
fn a_request_that_cannot_end_before_its_deadline_is_refused_at_once() {
    let mut agent = Agent::open(slots(1));
    agent.order(1, "urgent", |_| {});
    agent.now += 1_000;
    agent.end(1, RunResult::Complete(200));
    agent.order(2, "urgent", |_| {});
    let refused = ends(&agent.order(3, "urgent", |o| o.left_ms = 1_200));
    assert!(
        matches!(refused[..], [(3, AttemptEnd::Refused(Refusal::TooLate(ms)))] if ms > 0),
        "{refused:?}"
    );
    assert!(ends(&agent.order(4, "urgent", |o| o.left_ms = 9_000)).is_empty());
}

#[test]
fn a_full_queue_refuses_with_a_hint() {
    let mut agent = Agent::open(AgentParams {
        queue_limit: 1,
        ..slots(1)
    });
    agent.order(1, "urgent", |_| {});
    agent.order(2, "urgent", |_| {});
    let refused = ends(&agent.order(3, "urgent", |_| {}));
    assert!(
        matches!(refused[..], [(3, AttemptEnd::Refused(Refusal::Full(_)))]),
        "{refused:?}"
    );
}

/// Guards against an agent that is out of memory: many routers send it large requests.
#[test]
fn waiting_requests_are_refused_beyond_their_memory_and_logged_together() {
    let mut agent = Agent::open(AgentParams {
        queue_bytes: 1_000,
        ..slots(1)
    });
    let order = |agent: &mut Agent, n, bytes: usize| {
        agent.order(n, "urgent", |o| o.body = "x".repeat(bytes).into())
    };
    order(&mut agent, 1, 10);
    assert!(
        ends(&order(&mut agent, 2, 2_000)).is_empty(),
        "a single one waits"
    );
    let mut lines = 0;
    for n in 3..8 {
        let effects = order(&mut agent, n, 10);
        let refused = ends(&effects);
        assert!(
            matches!(refused[..], [(_, AttemptEnd::Refused(Refusal::Full(_)))]),
            "{refused:?}"
        );
        let is_line = |e: &&Effect| matches!(e, Effect::Log(l) if l.code == LogCode::ClientLimited);
        lines += effects.iter().filter(is_line).count();
    }
    assert_eq!(lines, 1);
}
