//! How groups end: what their heads have begun is finished first, as long as they can finish it.

use runrail::logic::direct::{
    DirectEffect, DirectEvent, EndpointReport, GroupStep, Observation, OrderResult, PeerMessage,
    ProbeResult, RunPart,
};
use runrail::types::{EndpointEntry, InstanceId, SeatState};

use crate::fixture::{addr, begin_stream, engine, open_group, order, piece, seat, Router};

fn fleet() -> Vec<(InstanceId, EndpointEntry)> {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend([engine(4, None), engine(5, None)]);
    entries
}

/// Makes the planner find an endpoint lost.
fn lose(router: &mut Router, id: &str) {
    router.answer_probe(id, ProbeResult::Silent);
    router.answer_probe(id, ProbeResult::Silent);
}

fn alive() -> ProbeResult {
    ProbeResult::Alive(EndpointReport::default())
}

/// Endpoints that were ordered to close their group.
fn closes(effects: &[DirectEffect]) -> Vec<String> {
    let close = |e| match order(e) {
        Some((_, id, GroupStep::Close { .. })) => Some(id),
        _ => None,
    };
    effects.iter().filter_map(close).collect()
}

/// Endpoints that were ordered to leave their group.
fn leaves(effects: &[DirectEffect]) -> Vec<String> {
    let leave = |e| match order(e) {
        Some((_, id, GroupStep::Leave { .. })) => Some(id),
        _ => None,
    };
    effects.iter().filter_map(leave).collect()
}

/// Makes the planner end a group in order: a member announces that it leaves, and the list shows that
/// the head closes the group.
fn close_group(router: &mut Router) {
    let (_, mut leaving) = open_group("g", [1, 2, 3]).remove(1);
    leaving.leaving = true;
    router.change("e2", Some(leaving));
    router.advance_ms(60);
    assert_eq!(closes(&router.take_effects()), ["e1"]);
    let (_, closing) = engine(1, seat("g", 0, SeatState::Closing));
    router.change("e1", Some(closing));
}

/// Advances the clock while each order is carried out at once, and returns the endpoints that were
/// ordered to leave.
fn advance(router: &mut Router, ms: u64) -> Vec<String> {
    let mut left = Vec::new();
    for _ in 0..ms / 20 {
        router.advance_ms(20);
        let effects = router.take_effects();
        left.extend(leaves(&effects));
        for (number, ..) in effects.iter().filter_map(order) {
            router.answer_order(number, OrderResult::Done);
        }
    }
    left
}

/// Guards against streams that are cut as their group has closed for three seconds, though their time
/// isn't over: the head was told to leave, whatever it still had to do.
#[test]
fn a_head_that_closes_may_finish_all_that_it_has_begun() {
    let mut router = Router::planner(fleet());
    router.take_effects();
    close_group(&mut router);
    assert!(advance(&mut router, 4_900).is_empty());
    let (_, ready) = engine(1, seat("g", 0, SeatState::Ready));
    router.change("e1", Some(ready));
    assert_eq!(advance(&mut router, 100), ["e1"]);
}

/// Guards against a group that closes forever: no request may take longer than the time limit of its route.
#[test]
fn a_head_that_does_not_finish_in_time_leaves() {
    let mut router = Router::planner(fleet());
    router.take_effects();
    close_group(&mut router);
    assert!(advance(&mut router, 6_500).contains(&"e1".to_string()));
}

/// Guards against streams that are cut as the planner alone can't reach a member of their group: its head
/// was told to leave at once. Without the member the head sends nothing any more.
#[test]
fn a_group_that_works_with_a_member_out_of_reach_finishes_its_streams() {
    let lost = [ProbeResult::Silent, ProbeResult::Refused];
    for (result, works) in lost
        .into_iter()
        .flat_map(|r| [(r.clone(), true), (r, false)])
    {
        let mut router = Router::planner(fleet());
        let sent = begin_stream(&mut router);
        assert_eq!(sent.to.as_str(), "e1");
        router.advance_ms(200);
        assert!(router.probes().contains(&"e3".to_string()));
        router.advance_ms(20);
        if works {
            router.part(sent.run, piece(2));
        }
        router.answer_probe("e3", result.clone());
        if result == ProbeResult::Silent {
            router.advance_ms(20);
            if works {
                router.part(sent.run, piece(3));
            }
            router.answer_probe("e3", result.clone());
        }
        router.advance_ms(60);
        let effects = router.take_effects();
        let expected: &[&str] = if works { &["e1"] } else { &[] };
        assert_eq!(closes(&effects), expected, "{result:?}");
        assert_eq!(leaves(&effects).is_empty(), works, "{result:?}");
        if works {
            assert_eq!(
                router.part(sent.run, RunPart::End),
                [DirectEffect::EndStream(1)]
            );
        }
    }
}

/// Guards against the same where the planner has no run at the head: other routers reach the member.
#[test]
fn a_group_whose_member_only_the_planner_misses_goes_on() {
    let mut router = Router::planner(fleet());
    for n in [2, 3, 4, 5] {
        let id = InstanceId::new(&format!("r{n}"));
        router.state().peers.insert(id, addr(800 + n));
    }
    router.take_effects();
    lose(&mut router, "e3");
    let messages = router.sent_messages();
    let asked = messages
        .into_iter()
        .filter_map(|(_, message)| match message {
            PeerMessage::Ask { number, .. } => Some(number),
            _ => None,
        });
    for number in asked.collect::<Vec<_>>() {
        let sight = Observation::Alive;
        let message = PeerMessage::Seen { number, sight };
        let from = addr(801);
        router.tell(DirectEvent::PeerMessage { from, message });
    }
    assert!(advance(&mut router, 1_000).is_empty());
}

/// Guards against streams that are cut as the planner didn't reach their head for a moment: once it was
/// found again it was told to leave.
#[test]
fn a_group_whose_head_is_found_again_goes_on() {
    let mut router = Router::planner(fleet());
    let sent = begin_stream(&mut router);
    lose(&mut router, "e1");
    assert!(advance(&mut router, 100).is_empty());
    assert!(router.state().plan.ending.contains_key("g"));
    router.answer_probe("e1", alive());
    assert!(advance(&mut router, 1_000).is_empty());
    assert!(router.state().plan.ending.is_empty());
    assert_eq!(
        router.part(sent.run, RunPart::End),
        [DirectEffect::EndStream(1)]
    );
}

/// Guards against the same while the group closes.
#[test]
fn a_closing_head_that_is_found_again_finishes_its_streams() {
    let mut router = Router::planner(fleet());
    router.take_effects();
    close_group(&mut router);
    lose(&mut router, "e1");
    assert!(advance(&mut router, 100).is_empty());
    router.answer_probe("e1", alive());
    assert!(advance(&mut router, 1_000).is_empty());
    let (_, ready) = engine(1, seat("g", 0, SeatState::Ready));
    router.change("e1", Some(ready));
    assert_eq!(advance(&mut router, 100), ["e1"]);
}
