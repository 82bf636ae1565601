//! Streams that have begun and wait until they are resumed.

use std::sync::Arc;

use runrail::logic::direct::{DirectEffect, DirectEvent, RunPart};
use runrail::logic::Event;

use crate::fixture::{
    begin_stream, is_cut, open_group, piece, plain, problem, request, routing, run, Router,
};

/// Time within which a stream that waits is sent again once it may be.
const RESEND_MS: u64 = 100;

fn two_groups() -> Router {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend(open_group("h", [4, 5, 6]));
    Router::new(entries)
}

fn sends(effects: &[DirectEffect]) -> usize {
    let is_run = |e: &&DirectEffect| matches!(e, DirectEffect::Run(_));
    effects.iter().filter(is_run).count()
}

fn passes_event(effects: &[DirectEffect]) -> bool {
    let is_event = |e: &DirectEffect| matches!(e, DirectEffect::PassEvent { request: 1, .. });
    effects.iter().any(is_event)
}

/// Guards against a stream that is cut although the retry budget opens in time: its endpoint broke off
/// while its router, which was restarted, had no retries to spend.
#[test]
fn a_broken_stream_waits_until_the_retry_budget_allows_it() {
    let mut router = two_groups();
    let first = begin_stream(&mut router);
    let opens_at = router.now + 2_500;
    router.state().retries_from = Some(opens_at);
    let effects = router.part(first.run, RunPart::Broken);
    assert!(!is_cut(&effects) && sends(&effects) == 0);
    router.advance_ms(2_400);
    let effects = router.take_effects();
    assert!(!is_cut(&effects) && sends(&effects) == 0);
    router.advance_ms(100 + RESEND_MS);
    let second = run(&router.take_effects());
    assert_eq!(second.last_event, Some(1));
    assert!(passes_event(&router.part(second.run, piece(2))));
}

/// Guards against a stream that is cut after a second and a half although its caller waits for it and a
/// head gets room in time.
#[test]
fn a_broken_stream_waits_for_room_as_long_as_its_caller_does() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let first = begin_stream(&mut router);
    router.part(first.run, RunPart::Broken);
    router.change("e1", None);
    router.advance_ms(3_000);
    let effects = router.take_effects();
    assert!(!is_cut(&effects) && sends(&effects) == 0);
    for (id, entry) in open_group("h", [4, 5, 6]) {
        router.change(id.as_str(), Some(entry));
    }
    router.advance_ms(RESEND_MS);
    let second = run(&router.take_effects());
    assert!(passes_event(&router.part(second.run, piece(2))));
}

/// Guards against a waiting stream that is given up by what happens beside it, and against one that
/// outlives its deadline.
#[test]
fn a_waiting_stream_stays_through_a_stop_and_a_new_routing_until_its_deadline() {
    let mut router = two_groups();
    let first = begin_stream(&mut router);
    router.state().retries_from = None;
    router.part(first.run, RunPart::Broken);
    router.feed(Event::Stop);
    router.tell(DirectEvent::Routing(Arc::new(routing(2))));
    router.advance_ms(4_900);
    assert!(!is_cut(&router.take_effects()));
    router.advance_ms(200);
    assert!(is_cut(&router.take_effects()));
}

/// Guards against a caller that waits in vain: the router knows that it has no retry before the deadline.
#[test]
fn a_broken_stream_ends_at_once_if_the_retry_budget_opens_after_its_deadline() {
    let mut router = two_groups();
    let first = begin_stream(&mut router);
    router.state().retries_from = Some(router.now + 5_000);
    assert!(is_cut(&router.part(first.run, RunPart::Broken)));
}

/// Guards against a retry budget that one stream uses up, as each head that it is sent to refuses it.
#[test]
fn a_broken_stream_that_heads_refuse_is_sent_again_less_and_less_often() {
    let mut router = two_groups();
    let first = begin_stream(&mut router);
    let mut effects = router.part(first.run, RunPart::Broken);
    let mut sent = 0;
    for _ in 0..100 {
        while sends(&effects) > 0 {
            sent += 1;
            let refused = RunPart::Complete {
                status: 503,
                not_run: true,
            };
            effects = router.part(run(&effects).run, refused);
        }
        assert!(!is_cut(&effects), "cut after {sent} sends");
        router.advance_ms(20);
        effects = router.take_effects();
    }
    assert!((4..=8).contains(&sent), "{sent} sends in two seconds");
}

/// Guards against callers that are refused because streams wait for the retry budget: these count as if
/// they waited for room.
#[test]
fn streams_that_wait_for_the_retry_budget_take_no_place_of_others() {
    let mut router = two_groups();
    let heads: Vec<_> = (1..=8)
        .map(|id| run(&router.ask(id, "/stream/x")))
        .collect();
    router.state().retries_from = None;
    for head in heads {
        router.part(head.run, RunPart::Head);
        router.part(head.run, RunPart::Broken);
    }
    for view in router.state().endpoints.values_mut() {
        view.backoff_until = u64::MAX;
    }
    let mut fresh = request(20, "/stream/x");
    fresh.wait_ms = Some(4_000);
    assert_eq!(problem(&router.ask_for(fresh)), None);
}

/// Guards against a router that ends, or gives an endpoint endless time: a stream that waits is sent after
/// its deadline, by an event that comes before the tick which ends it.
#[test]
fn a_waiting_stream_is_not_sent_after_its_deadline() {
    let mut router = Router::new(open_group("g", [1, 2, 3]));
    let first = begin_stream(&mut router);
    router.part(first.run, RunPart::Broken);
    router.change("e1", None);
    router.advance_ms(4_990);
    router.take_effects();
    router.now += 15;
    for (id, entry) in open_group("h", [4, 5, 6]) {
        router.change(id.as_str(), Some(entry));
    }
    assert_eq!(sends(&router.take_effects()), 0);
    router.advance_ms(20);
    assert!(is_cut(&router.take_effects()));
}

/// Guards against requests and streams that are given up for want of a retry though nothing was sent to
/// the endpoint that they need another one for.
#[test]
fn a_send_that_reached_no_endpoint_costs_no_retry() {
    for refused in [true, false] {
        let mut router = Router::new(vec![plain(1), plain(2)]);
        router.state().retries_from = None;
        let first = run(&router.ask(1, "/safe/x"));
        let second = run(&router.part(first.run, RunPart::NotSent { refused }));
        assert_ne!(second.to, first.to);

        let mut entries = open_group("g", [1, 2, 3]);
        entries.extend(open_group("h", [4, 5, 6]));
        entries.extend(open_group("i", [7, 8, 9]));
        let mut router = Router::new(entries);
        let first = begin_stream(&mut router);
        let second = run(&router.part(first.run, RunPart::Broken));
        router.state().retries_from = None;
        let effects = router.part(second.run, RunPart::NotSent { refused });
        assert!(!is_cut(&effects));
        router.advance_ms(RESEND_MS);
        let third = [effects, router.take_effects()].concat();
        assert_eq!(run(&third).last_event, Some(1));
    }
}
