//! Which groups are kept and traded depends on the demand of callers.

use std::sync::Arc;

use runrail::logic::direct::{
    DirectEffect, DirectEvent, GroupStep, ModelDemand, OrderResult, PeerMessage, ProbeResult,
};
use runrail::types::{EndpointEntry, InstanceId, SeatState};

use crate::fixture::{addr, engine, keep_busy, open_group, order, seat, Router, MODEL};

/// Two open groups of the small model, whose members' hosts also have the large one.
fn small_groups() -> Vec<(InstanceId, EndpointEntry)> {
    let member = |n: u16| {
        let rank = usize::from((n + 1) % 2);
        let place = seat(&format!("s{}", n.div_ceil(2)), rank, SeatState::Open);
        let (id, mut entry) = engine(n, place);
        entry.model = Some("small".into());
        entry.staged = vec![MODEL.into()];
        (id, entry)
    };
    (11..=14).map(member).collect()
}

/// Heads that were ordered to close their groups.
fn closed(effects: &[DirectEffect]) -> Vec<String> {
    let close = |e| match order(e) {
        Some((_, id, GroupStep::Close { .. })) => Some(id),
        _ => None,
    };
    effects.iter().filter_map(close).collect()
}

/// One group of the large model, two of the small one, and a spare.
fn fleet() -> Vec<(InstanceId, EndpointEntry)> {
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend(small_groups());
    entries.push(engine(4, None));
    entries
}

#[test]
fn a_group_that_callers_don_t_need_is_traded_for_one_that_they_do() {
    let mut router = Router::planner(fleet());
    keep_busy(&mut router, 2.0, 0.4, 4);
    router.advance_ms(1_000);
    // The spare and the members of one small group form a second large one.
    let traded: Vec<String> = router
        .state()
        .plan
        .traded_groups
        .values()
        .map(|g| g.to_string())
        .collect();
    assert_eq!(traded.len(), 1, "{traded:?}");
    assert!(traded[0].starts_with('s'), "{traded:?}");
}

/// Guards against a group that ends for nothing: its members counted for the group that was to take its
/// place, though they can't join one.
#[test]
fn no_group_is_traded_whose_members_can_not_join_another() {
    let unable = |router: &mut Router| {
        for id in ["e12", "e14"] {
            router.change(id, None);
        }
    };
    let mut router = Router::planner(fleet());
    unable(&mut router);
    keep_busy(&mut router, 2.0, 0.4, 4);
    router.advance_ms(1_000);
    assert!(router.state().plan.traded_groups.is_empty());
}

#[test]
fn a_group_that_callers_need_is_left_alone() {
    let mut router = Router::planner(fleet());
    keep_busy(&mut router, 0.6, 1.8, 4);
    router.advance_ms(1_000);
    assert!(router.state().plan.traded_groups.is_empty());
}

#[test]
fn nothing_is_traded_before_other_routers_have_reported() {
    let mut router = Router::planner(fleet());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(802));
    keep_busy(&mut router, 2.0, 0.4, 4);
    router.advance_ms(1_000);
    assert!(closed(&router.take_effects()).is_empty());
    assert!(router.state().plan.traded_groups.is_empty());
    let part = |model: &str, requests: u64| ModelDemand {
        requests: requests * 1_000,
        prompt: requests * 1_000,
        square: requests * 1_000_000,
        answer: requests * 50,
        pause: requests * 300,
        first: requests * 400,
        value: requests * 1_500,
        ..ModelDemand::none(&Arc::from(model))
    };
    router.tell(DirectEvent::PeerMessage {
        from: addr(802),
        message: PeerMessage::Demand {
            routers: 1,
            models: vec![part(MODEL, 25), part("small", 5)],
            accounts: Vec::new(),
            trends: Vec::new(),
        },
    });
    router.advance_ms(300);
    assert!(!router.state().plan.traded_groups.is_empty());
}

/// Requests for the large model in the first report that a router has sent towards the planner,
/// in thousandths a second.
fn reported(router: &mut Router) -> u64 {
    let models = router
        .sent_messages()
        .into_iter()
        .find_map(|(_, message)| match message {
            PeerMessage::Demand { models, .. } => Some(models),
            _ => None,
        });
    models.expect("a report")[0].requests
}

/// A router that isn't the planner and has just sent a report.
fn reporting(entries: Vec<(InstanceId, EndpointEntry)>) -> Router {
    let routers = [InstanceId::new("r2"), InstanceId::new("r1")];
    let mut router = Router::named("r1", &routers, entries);
    router.advance_ms(1_000);
    router
}

#[test]
fn every_request_is_demand_whatever_time_its_caller_gives() {
    let mut router = reporting(fleet());
    for (id, wait) in [(1, 5_000), (2, 2_000), (3, 900), (4, 4_700)] {
        let mut asked = crate::fixture::request(id, "/stream/x");
        asked.wait_ms = Some(wait);
        router.tell(DirectEvent::Request(Box::new(asked)));
    }
    router.take_effects();
    router.advance_ms(1_100);
    let four = reported(&mut router);
    let mut router = reporting(fleet());
    router.ask(1, "/stream/x");
    router.take_effects();
    router.advance_ms(1_100);
    assert_eq!(four, 4 * reported(&mut router));
}

/// Guards against counting refused requests twice. A request that comes back looks like a new
/// one, but each refused request comes back once: if all are refused, half are first tries.
#[test]
fn a_refused_request_that_comes_back_counts_once() {
    let rate = |entries: Vec<_>| {
        let mut router = reporting(entries);
        for id in 0..8 {
            router.ask(id, "/stream/x");
        }
        router.take_effects();
        router.advance_ms(1_100);
        reported(&mut router)
    };
    let (served, refused) = (rate(fleet()), rate(small_groups()));
    assert_eq!(refused, served / 2);
}

#[test]
fn a_router_reports_the_demand_of_its_subtree() {
    let routers = [InstanceId::new("r2"), InstanceId::new("r1")];
    let mut router = Router::named("r1", &routers, fleet());
    let behind = ModelDemand {
        requests: 700,
        ..ModelDemand::none(&Arc::from(MODEL))
    };
    router.tell(DirectEvent::PeerMessage {
        from: addr(803),
        message: PeerMessage::Demand {
            routers: 3,
            models: vec![behind],
            accounts: Vec::new(),
            trends: Vec::new(),
        },
    });
    router.advance_ms(1_100);
    let reports = router
        .sent_messages()
        .into_iter()
        .filter_map(|(_, message)| match message {
            PeerMessage::Demand {
                routers, models, ..
            } => Some((routers, models[0].requests)),
            _ => None,
        });
    assert_eq!(reports.last(), Some((4, 700)));
}

/// So many small groups in another domain, and three spares that form a large one there.
fn elsewhere(groups: u16) -> Vec<(InstanceId, EndpointEntry)> {
    let member = |n: u16| {
        let place = seat(&format!("t{}", n / 2), usize::from(n % 2), SeatState::Open);
        let (id, mut entry) = engine(100 + n, place);
        entry.model = Some("small".into());
        entry.domain = "d2".into();
        (id, entry)
    };
    let free = (1..=3).map(|n| {
        let (id, mut entry) = engine(50 + n, None);
        entry.domain = "d2".into();
        (id, entry)
    });
    (0..groups * 2).map(member).chain(free).collect()
}

#[test]
fn a_group_is_traded_while_little_is_under_way_elsewhere() {
    for (groups, trades) in [(1, 0), (12, 1)] {
        let mut entries = fleet();
        entries.extend(elsewhere(groups));
        let mut router = Router::planner(entries);
        keep_busy(&mut router, 5.0, 0.2, 3);
        assert_eq!(router.state().plan.forming.len(), 1, "the group in d2");
        let traded = router
            .state()
            .plan
            .traded_groups
            .keys()
            .filter(|p| &*p.1 == "d1");
        assert_eq!(traded.count(), trades, "{groups} groups elsewhere");
    }
}

/// Guards against a planner that trades nothing for seconds: a group whose members have left its silent
/// head changes nothing more, and ends once the head must have broken.
#[test]
fn a_group_that_its_members_have_left_keeps_no_other_from_being_traded() {
    let mut entries = fleet();
    entries.extend(elsewhere(1).into_iter().take(2));
    let mut router = Router::planner(entries);
    router.take_effects();
    for _ in 0..2 {
        router.answer_probe("e100", ProbeResult::Silent);
    }
    router.advance_ms(600);
    let orders = router.take_effects();
    let leave = orders.iter().find_map(|e| match order(e) {
        Some((number, id, GroupStep::Leave { .. })) if id == "e101" => Some(number),
        _ => None,
    });
    router.answer_order(leave.expect("an order to leave"), OrderResult::Done);
    let (id, mut entry) = engine(101, None);
    entry.domain = "d2".into();
    entry.beats += 1;
    router.change(id.as_str(), Some(entry));
    keep_busy(&mut router, 2.0, 0.4, 2);
    router.advance_ms(300);
    assert!(router.state().plan.ending.contains_key("t0"));
    let traded = router.state().plan.traded_groups.keys();
    assert_eq!(traded.filter(|p| &*p.1 == "d1").count(), 1);
}
