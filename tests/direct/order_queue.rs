//! Orders of a planner: sent only while its lease holds, and not too many at a time.

use runrail::logic::direct::plan::{OrderQueue, OrderUse, QueuedOrder};
use runrail::logic::direct::{DirectEffect, DirectState, GroupStep, OrderResult};
use runrail::logic::router::StoreCall;
use runrail::logic::{Effect, LogCode};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{engine, open_group, order, Router, FENCE};

/// Free engines in domains of three.
fn free_engines(count: u16) -> Vec<(InstanceId, EndpointEntry)> {
    let engine = |n: u16| {
        let (id, mut entry) = engine(n, None);
        entry.domain = format!("d{}", n / 3).into();
        (id, entry)
    };
    (0..count).map(engine).collect()
}

/// A planner whose next pass forms a group of each domain.
fn planner(domains: u16) -> Router {
    let mut router = Router::planner(Vec::new());
    router.advance_ms(400);
    for (id, entry) in free_engines(domains * 3) {
        router.change(id.as_str(), Some(entry));
    }
    router.take_effects();
    router
}

fn orders(effects: &[DirectEffect]) -> Vec<u64> {
    let orders = effects.iter().filter_map(|e| order(e).map(|o| o.0));
    orders.collect()
}

/// Guards against a planner that takes longer over a pass than its lease lasts, and gives its
/// orders although another planner may have taken over.
#[test]
fn orders_of_a_pass_that_outlasts_the_lease_are_dropped() {
    let mut router = planner(1);
    router.step_ms = 2_000;
    router.advance_ms(2_000);
    assert_eq!(orders(&router.take_effects()), Vec::<u64>::new());
    let mut router = planner(1);
    router.step_ms = 2_000;
    router.advance_ms(2_000);
    let dropped = |e: &Effect| matches!(e, Effect::Log(l) if l.code == LogCode::OrdersDropped);
    assert!(router.effects.iter().any(dropped), "{:?}", router.effects);
}

#[test]
fn a_planner_waits_for_results_before_it_sends_more_orders() {
    let mut router = planner(100);
    router.advance_ms(400);
    let first = orders(&router.take_effects());
    assert_eq!(first.len(), 128);
    for number in &first[..40] {
        router.answer_order(*number, OrderResult::Begun);
    }
    let next = orders(&router.take_effects());
    assert_eq!(next.len(), 40);
    // What is given again meanwhile isn't queued twice.
    let queued = |state: &DirectState| state.plan.order_queue.len();
    let before = queued(router.state());
    router.advance_ms(1_000);
    assert!(queued(router.state()) <= before + first.len() + next.len());
}

/// Fences that belong to one planner lease.
const ORDERS_PER_FENCE: u64 = 1 << 16;

/// Guards against fences that grow beyond those of the next planner lease, whose orders all endpoints
/// would then refuse.
#[test]
fn a_planner_that_has_used_its_fences_hands_its_lease_back() {
    let mut router = planner(10);
    router.state().plan.lease.orders_sent = ORDERS_PER_FENCE - 6;
    router.advance_ms(400);
    let fences: Vec<_> = router.effects.iter().filter_map(fence).collect();
    assert_eq!(fences.len(), 5, "{fences:?}");
    let next_lease = (FENCE as u64 + 1) * ORDERS_PER_FENCE;
    assert!(fences.iter().all(|f| *f < next_lease), "{fences:?}");
    let is_revoked = |e: &Effect| {
        let op = match e {
            Effect::Store { op, .. } => op,
            _ => return false,
        };
        matches!(op, StoreCall::Revoke { .. })
    };
    router.advance_ms(2_000);
    assert!(router.effects.iter().any(is_revoked));
}

fn fence(effect: &Effect) -> Option<u64> {
    match effect {
        Effect::Direct(DirectEffect::Order { body, .. }) => Some(body.fence),
        _ => None,
    }
}

fn queued(number: u64, endpoint: &str, purpose: OrderUse) -> QueuedOrder {
    QueuedOrder {
        endpoint: InstanceId::new(endpoint),
        what: GroupStep::Stage {
            model: format!("m{number}").into(),
        },
        lease: 1,
        purpose,
    }
}

/// Guards against orders that are lost or change places while others of their endpoint are in
/// progress, and against loads that are sent before groups are formed.
#[test]
fn orders_that_wait_keep_their_places_and_loads_come_last() {
    let load = |n, id: &str| queued(n, id, OrderUse::Stage(InstanceId::new(id)));
    let leave = |n, id: &str| queued(n, id, OrderUse::Leave("g".into()));
    let mut queue = OrderQueue::default();
    for order in [
        load(1, "e2"),
        leave(2, "e1"),
        leave(3, "e1"),
        load(4, "e1"),
        leave(5, "e2"),
    ] {
        queue.push(order);
    }
    let mut busy = vec![InstanceId::new("e1")];
    let mut next = |queue: &mut OrderQueue, freed: &str| {
        busy.retain(|id| id.as_str() != freed);
        let is_due = |o: &QueuedOrder| {
            let is_idle = !busy.contains(&o.endpoint);
            if is_idle {
                busy.push(o.endpoint.clone());
            }
            is_idle
        };
        queue.take(usize::MAX, is_due, |_| false)
    };
    assert_eq!(next(&mut queue, ""), [leave(5, "e2")]);
    assert_eq!(queue.len(), 4);
    assert_eq!(next(&mut queue, "e1"), [leave(2, "e1")]);
    assert_eq!(next(&mut queue, "e1"), [leave(3, "e1")]);
    assert_eq!(next(&mut queue, "e2"), [load(1, "e2")]);
    assert_eq!(next(&mut queue, "e1"), [load(4, "e1")]);
    assert!(queue.is_empty());
}

/// Guards against an order that is lost because another one of its endpoint has no answer, and
/// against loads in advance that stop meanwhile.
#[test]
fn a_load_waits_for_the_order_in_progress_and_is_sent_after_it() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.push(engine(4, None));
    let mut router = Router::planner(entries);
    router.advance_ms(400);
    let sent = orders_to(&mut router, "e4");
    assert_eq!(sent.len(), 1, "{sent:?}");
    // What the endpoint is ordered next waits.
    let model = "small".into();
    let lease = router.state().plan.lease.fence;
    let next = QueuedOrder {
        endpoint: InstanceId::new("e4"),
        what: GroupStep::Stage { model },
        lease,
        purpose: OrderUse::Free(InstanceId::new("e4")),
    };
    router.state().plan.order_queue.push(next);
    router.advance_ms(100);
    assert!(orders_to(&mut router, "e4").is_empty());
    router.answer_order(sent[0], OrderResult::Unanswered);
    assert_eq!(orders_to(&mut router, "e4").len(), 1);
}

/// Numbers of the orders that were sent to an endpoint since the effects were last taken.
fn orders_to(router: &mut Router, endpoint: &str) -> Vec<u64> {
    let effects = router.take_effects();
    let sent = effects.iter().filter_map(order);
    let sent = sent.filter(|(_, id, _)| id == endpoint);
    sent.map(|(number, ..)| number).collect()
}

/// Guards against each event walking through thousands of queued orders.
#[test]
fn no_more_queued_orders_are_examined_than_are_taken_or_dropped() {
    let mut queue = OrderQueue::default();
    for n in 0..3_000 {
        let id = format!("e{n}");
        queue.push(queued(n, &id, OrderUse::Leave("g".into())));
    }
    let mut examined = 0;
    let is_due = |_: &QueuedOrder| {
        examined += 1;
        true
    };
    let is_obsolete = |o: &QueuedOrder| o.endpoint.as_str() == "e1";
    let taken = queue.take(3, is_due, is_obsolete);
    let ids: Vec<_> = taken.iter().map(|o| o.endpoint.as_str()).collect();
    assert_eq!(ids, ["e0", "e2", "e3"]);
    assert_eq!((examined, queue.len()), (4, 2_996));
}

/// Guards against queued orders being examined with each event while there is no room for any.
#[test]
fn queued_orders_stay_as_they_are_without_room_and_obsolete_ones_are_dropped_with_it() {
    let mut router = planner(100);
    router.advance_ms(400);
    let first = orders(&router.take_effects());
    assert_eq!(first.len(), 128);
    router.state().plan.forming.clear();
    let waiting = router.state().plan.order_queue.len();
    router.feed(runrail::logic::Event::Watch(Vec::new()));
    assert_eq!(router.state().plan.order_queue.len(), waiting);
    router.answer_order(first[0], OrderResult::Begun);
    router.feed(runrail::logic::Event::Watch(Vec::new()));
    assert_eq!(orders(&router.take_effects()), Vec::<u64>::new());
    assert!(router.state().plan.order_queue.len() < waiting);
}

/// Guards against epochs of one planner lease that lie above those of the next.
#[test]
fn a_planner_that_has_used_half_of_its_epochs_hands_its_lease_back() {
    let mut router = planner(1);
    router.state().plan.epochs_used = 2_047;
    let is_revoked = |e: &Effect| {
        let op = match e {
            Effect::Store { op, .. } => op,
            _ => return false,
        };
        matches!(op, StoreCall::Revoke { .. })
    };
    router.effects.clear();
    router.state().plan.lease.next_call = 0;
    router.advance_ms(2_000);
    assert!(router.effects.iter().any(is_revoked));
}
