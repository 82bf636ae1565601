//! The keys of requests that may not be repeated are kept for a time, their answers within a
//! limit of bytes.

use runrail::logic::agent::AgentParams;
use runrail::logic::{Effect, Event, RunResult};
use runrail::message::{ClaimKey, Message, Once, Recall};

use crate::fixture::{run, Agent};

fn once(number: u64) -> Once {
    Once {
        key: ClaimKey::new("a", &number.to_string()),
        attempt: 1,
        keep_ms: 10_000,
    }
}

fn recall(agent: &mut Agent, number: u64) -> Option<Recall> {
    let effects = agent.receive(Message::Query {
        run: run(99),
        once: once(number),
        incarnation: 1,
        bar: true,
    });
    effects.into_iter().find_map(|e| match e {
        Effect::Send {
            message: Message::Recalled { recall, .. },
            ..
        } => Some(recall),
        _ => None,
    })
}

fn answer(agent: &mut Agent, number: u64) {
    agent.order(number, "urgent", |o| o.once = Some(once(number)));
    agent.piece(number, "0123456789");
    agent.end(number, RunResult::Complete(200));
}

#[test]
fn the_oldest_answers_are_evicted_but_their_keys_stay() {
    let mut agent = Agent::open(AgentParams {
        answers_bytes: 25,
        ..AgentParams::default()
    });
    for number in 1..=3 {
        answer(&mut agent, number);
    }
    assert_eq!(recall(&mut agent, 1), Some(Recall::Lost));
    for number in [2, 3] {
        let kept = recall(&mut agent, number);
        assert!(matches!(kept, Some(Recall::Done { text, .. }) if text == "0123456789"));
    }
}

#[test]
fn a_key_expires_only_after_its_time() {
    let mut agent = Agent::open(AgentParams::default());
    answer(&mut agent, 1);
    agent.now += 9_000;
    assert!(matches!(recall(&mut agent, 1), Some(Recall::Done { .. })));
    agent.now += 2_000;
    agent.feed(Event::Tick);
    assert_eq!(recall(&mut agent, 1), Some(Recall::NotRun));
}
