//! A list that lags behind: the planner doesn't act on outdated entries.

use runrail::logic::direct::{DirectEffect, DirectEvent, GroupStep};
use runrail::types::{EndpointEntry, InstanceId, SeatState};

use crate::fixture::{at, engine, order, seat, Router, FENCE};

/// Delivers a complete reading of the list at a revision.
fn list(router: &mut Router, revision: i64, entries: Vec<(InstanceId, EndpointEntry)>) {
    router.tell(DirectEvent::ListRead {
        at: at(revision),
        entries,
    });
}

fn joins(effects: &[DirectEffect]) -> usize {
    let join = |e: &&DirectEffect| matches!(order(e), Some((_, _, GroupStep::Join { .. })));
    effects.iter().filter(join).count()
}

/// Guards against a new planner that places endpoints by a list older than its lease, which happens
/// where the list of a large fleet lags (seen with 300 instances). The planner before may have
/// placed them already, and they would join another group while their own is open.
#[test]
fn a_new_planner_waits_for_a_list_as_new_as_its_lease() {
    let mut router = Router::bare();
    router.tell(DirectEvent::Routing(std::sync::Arc::new(
        crate::fixture::routing(1),
    )));
    let spares = || (1..=3).map(|n| engine(n, None)).collect();
    list(&mut router, FENCE - 1, spares());
    router.state().plan.has_traffic = true;
    router.advance_ms(600);
    assert!(router.holds_lease());
    let effects = router.take_effects();
    assert!(effects.contains(&DirectEffect::ReadList));
    assert_eq!(joins(&effects), 0, "others may have placed them");
    list(&mut router, FENCE, spares());
    router.advance_ms(100);
    assert_eq!(joins(&router.take_effects()), 3);
}

#[test]
fn a_seat_in_an_opened_group_overrides_a_lagging_entry() {
    let mut router = Router::planner((1..=3).map(|n| engine(n, None)).collect());
    let effects = router.take_effects();
    let group = effects.iter().find_map(|e| match order(e) {
        Some((_, _, GroupStep::Join { group, epoch, .. })) => Some((group.clone(), *epoch)),
        _ => None,
    });
    let (group, epoch) = group.expect("a group is formed");
    for (n, state) in [
        (1, SeatState::Open),
        (2, SeatState::Ready),
        (3, SeatState::Ready),
    ] {
        let mut place = seat(&group, usize::from(n) - 1, state);
        if let Some(place) = &mut place {
            place.epoch = epoch;
        }
        // The list doesn't show the last one's seat yet.
        if n < 3 {
            let (id, entry) = engine(n, place);
            router.change(id.as_str(), Some(entry));
        }
    }
    router.advance_ms(300);
    router.take_effects();
    let (id, entry) = engine(3, None);
    router.change(id.as_str(), Some(entry));
    router.advance_ms(2_000);
    // An order to load a model to a member's host is allowed.
    let changes_groups =
        |e: &DirectEffect| order(e).is_some_and(|o| !matches!(o.2, GroupStep::Stage { .. }));
    let effects = router.take_effects();
    assert!(
        !effects.iter().any(changes_groups),
        "e3 is in the group: {effects:?}"
    );
}

/// The lease is as long as the store granted it, and longer for a large fleet.
#[test]
fn the_planner_lease_length_follows_the_store_and_the_fleet_size() {
    for (endpoints, length) in [(3, 1_000), (2_500, 2_000)] {
        let entries = (0..endpoints).map(|n| engine(n, None)).collect();
        let mut router = Router::planner(entries);
        assert_eq!(router.state().plan.lease.ttl_ms, length);
    }
}

/// Endpoints that were ordered to join a group of several members.
fn joined(router: &mut Router) -> Vec<String> {
    let joins = router.joins();
    joins.into_iter().flat_map(|(_, members)| members).collect()
}

/// Guards against an instance in two groups: a planner formed and opened a group of e1, e2 and e3 and
/// failed. The entry of e3 lags behind, so that its successor took it for free, and let it join
/// another group while that one was open.
#[test]
fn an_endpoint_without_a_seat_may_be_the_member_that_a_group_lacks() {
    let mut first = Router::planner((1..=3).map(|n| engine(n, None)).collect());
    let formed = first.joins().remove(0);
    assert_eq!(formed.1, ["e1", "e2", "e3"]);
    let place = |rank, state| {
        let mut place = seat(&formed.0, rank, state);
        place.iter_mut().for_each(|s| s.epoch = 4_097);
        place
    };
    let mut second = Router::planner(vec![
        engine(1, place(0, SeatState::Open)),
        engine(2, place(1, SeatState::Ready)),
        engine(3, None),
        engine(4, None),
        engine(5, None),
    ]);
    second.advance_ms(300);
    assert_eq!(joined(&mut second), Vec::<String>::new());
    // Heartbeats since it plans show that two of them are free.
    for n in [4, 5] {
        let (id, mut entry) = engine(n, None);
        entry.beats += 1;
        second.change(id.as_str(), Some(entry));
    }
    second.advance_ms(300);
    assert!(!joined(&mut second).contains(&"e3".to_string()));
    // Once it has a heartbeat, it is free as well.
    let (id, mut entry) = engine(3, None);
    entry.beats += 1;
    second.change(id.as_str(), Some(entry));
    second.advance_ms(300);
    assert!(joined(&mut second).contains(&"e3".to_string()));
}
