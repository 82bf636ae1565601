//! Which models spares and members load in advance.

use runrail::logic::direct::{DirectEffect, GroupStep};
use runrail::types::{EndpointEntry, InstanceId, SeatState};

use crate::fixture::{engine, keep_busy, open_group, order, seat, Router};

/// The entry of a spare whose host stores the small model. An endpoint that was listed with the
/// large model before can serve both.
fn spare_with_two(n: u16) -> (InstanceId, EndpointEntry) {
    let (id, mut entry) = engine(n, None);
    entry.model = None;
    entry.staged = vec!["small".into()];
    (id, entry)
}

/// Endpoints that were ordered to hold a model in a group of their own, with the model.
fn held(effects: &[DirectEffect]) -> Vec<(String, String)> {
    let alone = |e| match order(e) {
        Some((_, id, GroupStep::Join { members, model, .. })) if members.len() == 1 => {
            Some((id, model.to_string()))
        }
        _ => None,
    };
    effects.iter().filter_map(alone).collect()
}

#[test]
fn a_spare_that_can_serve_two_models_is_not_told_to_hold_one() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.push(engine(4, None));
    let mut router = Router::planner(entries);
    router.take_effects();
    let (id, entry) = spare_with_two(4);
    router.change(id.as_str(), Some(entry));
    router.advance_ms(300);
    assert_eq!(
        held(&router.take_effects()),
        [],
        "holding it would drop the other"
    );
}

#[test]
fn a_spare_that_has_just_started_holds_what_its_host_keeps() {
    let mut router = Router::planner(open_group("g", [1, 2, 3]));
    let (id, entry) = spare_with_two(4);
    router.take_effects();
    router.change(id.as_str(), Some(entry));
    router.advance_ms(300);
    let held = held(&router.take_effects());
    assert_eq!(held[0], ("e4".to_string(), "small".to_string()));
}

/// A new planner doesn't know which model a spare holds that was there before: an order to
/// hold the one on its host would evict that.
#[test]
fn a_spare_that_was_there_before_this_router_is_not_told_to_hold_what_its_host_keeps() {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.push(spare_with_two(4));
    let mut router = Router::planner(entries);
    router.advance_ms(1_000);
    assert_eq!(held(&router.take_effects()), []);
}

/// The large model has no group, and one of two hosts in the second domain stores it.
#[test]
fn loads_go_to_the_model_that_is_short_where_most_can_serve_it() {
    let mut entries = Vec::new();
    for (n, domain, staged) in [
        (1, "d1", "small"),
        (2, "d1", "small"),
        (3, "d2", "small"),
        (4, "d2", "big"),
    ] {
        let (id, mut entry) = engine(n, None);
        entry.domain = domain.into();
        entry.model = Some("small".into());
        entry.staged = vec![staged.into()];
        let rank = usize::from(1 - n % 2);
        entry.seat = seat(&format!("s{domain}"), rank, SeatState::Open);
        entries.push((id, entry));
    }
    let mut router = Router::planner(entries);
    router.advance_ms(600);
    let staged = |e: &DirectEffect| match order(e) {
        Some((_, id, GroupStep::Stage { model })) => Some((id, model.to_string())),
        _ => None,
    };
    let first = router.take_effects().iter().find_map(staged);
    assert_eq!(first, Some(("e3".to_string(), "big".to_string())));
}

/// Guards against loads above the published rate: loads that a new planner begins at once
/// come on top of those of its predecessor.
#[test]
fn a_planner_that_takes_over_begins_loads_no_faster_than_the_rate() {
    let empty = |n: u16| {
        let (id, mut entry) = engine(n, None);
        entry.model = None;
        entry.staged = Vec::new();
        (id, entry)
    };
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend((10..60).map(empty));
    let mut router = Router::planner(entries);
    let mut loads = held(&router.take_effects()).len();
    router.advance_ms(600);
    loads += held(&router.take_effects()).len();
    assert!(loads <= 4, "{loads} in the first second at 3 a second");
    router.advance_ms(4_000);
    loads += held(&router.take_effects()).len();
    assert!((8..=16).contains(&loads), "{loads} in five seconds");
}

/// Pattern: a fleet of which only a part can load its models before the first caller, and a hall
/// that loses power then. With the loads in the order of the domains' names, the first hall held
/// all groups.
#[test]
fn first_loads_are_spread_over_the_halls() {
    let mut entries = Vec::new();
    for n in 0..108 {
        let (id, mut entry) = engine(n, None);
        let domain = n / 9;
        entry.hall = format!("h{}", domain / 4).into();
        entry.domain = format!("d{domain:02}").into();
        entry.model = None;
        entry.staged = Vec::new();
        entries.push((id, entry));
    }
    let halls: std::collections::BTreeMap<String, String> = entries
        .iter()
        .map(|(id, entry)| (id.to_string(), entry.hall.to_string()))
        .collect();
    let mut router = Router::new(entries);
    router.state().plan.first_start = true;
    router.advance_ms(1_000);
    let held = held(&router.take_effects());
    assert!(held.len() >= 18, "{held:?}");
    let mut loads = [0; 3];
    for (id, _) in &held {
        let hall = halls[id].trim_start_matches('h');
        loads[hall.parse::<usize>().expect("a number")] += 1;
    }
    let (most, least) = (loads.iter().max(), loads.iter().min());
    assert!(
        most.zip(least).is_some_and(|(m, l)| m - l <= 9),
        "{loads:?}"
    );
}

/// Pattern: a fleet of far more endpoints than its callers need. Its spares loaded models at the
/// highest rate for hours, each by an order and a load that nobody was served by.
#[test]
fn spares_load_nothing_while_the_groups_suffice() {
    let mut entries = Vec::new();
    for group in 0..6u16 {
        let first = group * 3;
        let members = open_group(&format!("g{group}"), [first, first + 1, first + 2]);
        entries.extend(members.into_iter().map(|(id, mut entry)| {
            entry.domain = format!("served{group}").into();
            (id, entry)
        }));
    }
    for group in 0..6u16 {
        let members = (0..2).map(|rank| {
            let name = format!("s{group}");
            engine(
                40 + group * 2 + rank,
                seat(&name, rank.into(), SeatState::Open),
            )
        });
        entries.extend(members.map(|(id, mut entry)| {
            entry.domain = format!("served{group}").into();
            entry.model = Some("small".into());
            (id, entry)
        }));
    }
    for n in 100..220 {
        let (id, mut entry) = engine(n, None);
        entry.domain = format!("empty{}", n / 6).into();
        entry.model = None;
        entry.staged = Vec::new();
        entries.push((id, entry));
    }
    let mut router = Router::planner(entries);
    keep_busy(&mut router, 1.0, 1.0, 10);
    router.advance_ms(500);
    router.take_effects();
    router.advance_ms(3_000);
    let held = held(&router.take_effects());
    assert!(held.is_empty(), "{held:?}");
}
