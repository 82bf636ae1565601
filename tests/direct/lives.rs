//! Endpoints that start again under their ids, and entries older than what is known.

use runrail::logic::direct::{Digest, DirectEffect, EntryNews, GroupStep, LookResult};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{at, empty_digest, engine, hear, open_group, order, plain, Router, FENCE};

/// When the endpoints of these tests were born, in Unix milliseconds.
const BORN: u64 = 1_790_000_000_000;

/// An open group of three and so many spares, all of which tell when they were born.
fn fleet(spares: u16) -> Vec<(InstanceId, EndpointEntry)> {
    let spares = (4..4 + spares).map(|n| engine(n, None));
    let all = open_group("g", [1, 2, 3]).into_iter().chain(spares);
    all.map(|(id, mut entry)| {
        entry.born = Some(BORN);
        entry.beats = 50;
        (id, entry)
    })
    .collect()
}

/// The entry that an endpoint writes first in its next life.
fn reborn(n: u16) -> EndpointEntry {
    let (_, mut entry) = engine(n, None);
    entry.born = Some(BORN + 30_000);
    entry.beats = 1;
    entry.model = None;
    entry
}

fn sends_to(effects: &[DirectEffect]) -> Option<String> {
    effects.iter().find_map(|e| match e {
        DirectEffect::Run(run) => Some(run.to.to_string()),
        _ => None,
    })
}

/// The count of heartbeats begins anew with a life: what followed was taken for old.
#[test]
fn news_of_a_next_life_are_taken_in_though_its_count_is_lower() {
    let mut router = Router::named("r1", &["r0", "r1"].map(InstanceId::new), fleet(0));
    let id = InstanceId::new("e1");
    let news = vec![(at(FENCE + 1), EntryNews::Listed(id.clone(), reborn(1)))];
    let digest = Digest {
        from: at(FENCE),
        news,
        ..empty_digest(1, at(FENCE + 1))
    };
    hear(&mut router, digest);
    assert_eq!(router.state().endpoints[&id].entry, reborn(1));
    assert_eq!(
        sends_to(&router.ask(1, "/stream/x")),
        None,
        "it heads nothing"
    );
}

/// The planner kept a place that it knew better than the list, also for the next life: a
/// group with a member that had never joined it would have counted as complete.
#[test]
fn a_place_in_a_group_ends_with_the_life_that_had_it() {
    let mut router = Router::planner(fleet(0));
    let seat = router.state().endpoints[&InstanceId::new("e2")]
        .entry
        .seat
        .clone();
    let known = (seat.expect("a place"), crate::fixture::MODEL.into());
    router
        .state()
        .plan
        .seats
        .insert(InstanceId::new("e2"), known);
    router.change("e2", Some(reborn(2)));
    let view = &router.state().endpoints[&InstanceId::new("e2")];
    assert_eq!(view.entry.seat, None);
    assert_eq!(view.last, None, "it holds nothing of before");
}

/// An address that answers made the planner wait for a head that had started again, and
/// then for the group to break: more than four seconds without the group.
#[test]
fn a_group_whose_head_has_started_again_is_formed_anew_at_once() {
    let mut router = Router::planner(fleet(1));
    router.pass(100);
    router.take();
    router.change("e1", Some(reborn(1)));
    router.pass(200);
    let joins = router.joins();
    assert!(!joins.is_empty(), "its members and the spare form a group");
}

#[test]
fn a_group_whose_member_has_started_again_is_told_to_end() {
    let mut router = Router::planner(fleet(1));
    router.pass(100);
    router.take();
    router.change("e3", Some(reborn(3)));
    router.pass(200);
    let effects = router.take();
    let leaves = effects
        .iter()
        .any(|e| matches!(order(e), Some((_, id, GroupStep::Leave { .. })) if id == "e1"));
    assert!(leaves, "its head leaves before anyone joins anew");
}

/// A report may tell of the next life before the list does.
#[test]
fn a_report_of_a_next_life_voids_what_the_list_says() {
    let mut router = Router::planner(fleet(1));
    router.pass(100);
    let alive = LookResult::Alive {
        born: Some(BORN + 30_000),
        seat: None,
        pace: 1_000,
    };
    router.looked("e1", alive);
    let view = &router.state().endpoints[&InstanceId::new("e1")];
    assert_eq!((view.entry.seat.clone(), view.entry.beats), (None, 0));
}

/// A store that has come back from a copy shows an endpoint as ready that has told since
/// that it leaves, or that has left.
#[test]
fn an_older_entry_brings_back_neither_who_leaves_nor_who_has_left() {
    let (id, mut entry) = plain(1);
    entry.born = Some(BORN);
    entry.beats = 50;
    let mut router = Router::new(vec![(id.clone(), entry.clone())]);
    let mut leaving = entry.clone();
    leaving.leaving = true;
    leaving.beats = 52;
    router.change(id.as_str(), Some(leaving.clone()));
    router.change(id.as_str(), Some(entry.clone()));
    assert_eq!(sends_to(&router.ask(1, "/safe/x")), None, "it leaves");
    router.change(id.as_str(), None);
    router.change(id.as_str(), Some(leaving.clone()));
    assert!(!router.state().endpoints[&id].listed, "it has left");
    leaving.beats = 53;
    router.change(id.as_str(), Some(leaving));
    assert!(router.state().endpoints[&id].listed, "it beats again");
}

/// A platform that doesn't tell when lives began in all that it says is no restart.
#[test]
fn a_report_alone_that_tells_of_a_birth_is_no_restart() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    router.pass(100);
    let alive = LookResult::Alive {
        born: Some(BORN),
        seat: None,
        pace: 1_000,
    };
    router.looked("e1", alive);
    let view = &router.state().endpoints[&InstanceId::new("e1")];
    assert!(view.heads());
}
