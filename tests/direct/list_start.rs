//! Where routers that have just started get the endpoint list from.

use std::net::SocketAddr;
use std::time::Duration;

use runrail::logic::direct::{DirectEffect, DirectEvent, ListSnapshot};
use runrail::logic::router::{StoreChange, StoreEntry};
use runrail::logic::{Effect, Event, LogCode};
use runrail::types::{EndpointEntry, InstanceId, SeatState, StorePosition};

use crate::fixture::{
    addr, at, engine, open_group, plain, request, routing, run, seat, Router, FENCE,
};
use testkit::direct::{served, until};

fn names(count: u16) -> Vec<InstanceId> {
    let name = |n| InstanceId::new(&format!("r{n}"));
    (0..count).map(name).collect()
}

/// A router of so many that has just started: the store has the addresses of the others, and one
/// more holds the planner lease.
fn starting(me: &str, count: u16) -> Router {
    let mut router = Router::bare();
    let entry = |key: String, value: String| StoreEntry {
        key,
        value,
        revision: 1,
    };
    let state = router.state();
    state.own_id = InstanceId::new(me);
    state.retries_from = None;
    let address = |(n, id): (usize, InstanceId)| {
        let addr = addr(2_000 + n as u16);
        entry(format!("runrail/router/{id}"), addr.to_string())
    };
    let mut keys: Vec<_> = names(count).into_iter().enumerate().map(address).collect();
    keys.push(entry("runrail/planner/fleet".into(), "r-plans".into()));
    router.store_entries = keys;
    router.tell(DirectEvent::Routing(routing(1).into()));
    router
}

/// The routers that were asked for the list, and whether it is read from the store.
fn sources(router: &mut Router) -> (Vec<SocketAddr>, bool) {
    let effects = router.take_effects();
    let asked = effects.iter().filter_map(|e| match e {
        DirectEffect::FetchList { from } => Some(*from),
        _ => None,
    });
    (asked.collect(), effects.contains(&DirectEffect::ReadList))
}

fn entries() -> Vec<(InstanceId, EndpointEntry)> {
    let (id, mut cold) = plain(9);
    cold.cold_ms = 700;
    let mut entries = open_group("g", [1, 2, 3]);
    entries.extend([engine(4, None), plain(1), (id, cold)]);
    entries
}

/// The snapshot that a router with these entries sends, as it arrives.
fn snapshot() -> ListSnapshot {
    let mut router = Router::new(entries());
    let now = router.now;
    let snapshot = runrail::logic::direct::snapshot(router.state(), now).expect("a snapshot");
    let mut bytes = Vec::new();
    ciborium::into_writer(&snapshot, &mut bytes).expect("encoded");
    ciborium::from_reader(&bytes[..]).expect("decoded")
}

fn fetched(router: &mut Router, from: SocketAddr, snapshot: Option<ListSnapshot>) {
    let snapshot = snapshot.map(Box::new);
    router.tell(DirectEvent::ListFetched { from, snapshot });
}

/// Pattern: all routers of a large fleet start at once. The pages that they read together don't
/// grow with their number.
#[test]
fn the_routers_that_read_the_list_are_as_few_in_a_large_fleet() {
    for count in [30, 123, 380] {
        let mut readers = 0;
        for id in names(count) {
            let mut router = starting(id.as_str(), count);
            router.advance_ms(40);
            let (asked, reads) = sources(&mut router);
            assert_eq!(asked.len(), usize::from(!reads), "{id}");
            readers += usize::from(reads);
        }
        assert_eq!(readers, 8, "{count} routers");
    }
}

/// Guards against routers of a system that starts which all take themselves for the few readers,
/// as no other one has registered yet.
#[test]
fn routers_that_start_with_the_system_wait_until_they_know_each_other() {
    let count = 123;
    let mut readers = 0;
    for id in names(count) {
        let mut router = starting(id.as_str(), count);
        let registered = std::mem::take(&mut router.store_entries);
        router.advance_ms(40);
        let changes = registered.into_iter().map(|e| StoreChange {
            key: e.key,
            value: Some(e.value),
            revision: e.revision,
        });
        let routers = changes.filter(|c| c.key.starts_with("runrail/router/"));
        router.feed(Event::Watch(routers.collect()));
        router.advance_ms(400);
        readers += usize::from(sources(&mut router).1);
    }
    assert_eq!(readers, 8);
}

/// A router that asks others, and the first one that it asked.
fn asking(count: u16) -> (Router, SocketAddr) {
    for id in names(count) {
        let mut router = starting(id.as_str(), count);
        router.advance_ms(40);
        if let (&[from], false) = (&sources(&mut router).0[..], false) {
            return (router, from);
        }
    }
    panic!("no router asks");
}

#[test]
fn a_router_serves_by_a_snapshot_and_follows_the_list_from_its_position() {
    let (mut router, from) = asking(30);
    fetched(&mut router, from, Some(snapshot()));
    let effects = router.take_effects();
    let follow = DirectEffect::FollowList { at: at(FENCE) };
    assert!(effects.contains(&follow), "{effects:?}");
    let known = router.state().endpoints.iter();
    let known: Vec<_> = known.map(|(id, v)| (id.clone(), v.entry.clone())).collect();
    let mut sent = entries();
    sent.sort_by(|a, b| a.0.cmp(&b.0));
    // Nothing bounds cold endpoints of this routing.
    sent.iter_mut().for_each(|(_, entry)| entry.cold_ms = 0);
    assert_eq!(known, sent);
    assert_eq!(
        run(&router.ask_for(request(1, "/stream/x"))).to.as_str(),
        "e1"
    );
    // It may lack changes that don't affect where requests go: before it plans, it reads the list.
    assert!(router.state().digests.list_incomplete);
    router.advance_ms(3_000);
    assert_eq!(sources(&mut router), (Vec::new(), false));
}

#[test]
fn a_router_whose_parent_is_gone_asks_others_and_reads_the_store_in_time() {
    let (mut router, first) = asking(30);
    let mut asked = vec![first];
    let begin = router.now;
    loop {
        assert!(router.now < begin + 2_100, "{asked:?}");
        let last = *asked.last().expect("one");
        fetched(&mut router, last, None);
        router.advance_ms(60);
        let (next, reads) = sources(&mut router);
        asked.extend(next);
        if reads {
            break;
        }
    }
    let others = asked.iter().filter(|a| **a != first).count();
    assert!(others >= 5 && asked.len() > others, "{asked:?}");
}

#[test]
fn a_router_that_can_not_learn_of_others_reads_the_store() {
    let mut router = Router::bare();
    router.state().retries_from = None;
    router.state().plan.lease.next_call = u64::MAX;
    router.advance_ms(200);
    assert_eq!(sources(&mut router), (Vec::new(), false));
    router.advance_ms(200);
    assert_eq!(sources(&mut router), (Vec::new(), true));
}

/// Pattern: the store forgets its history, so that the watches of all routers lose their place.
#[test]
fn a_router_whose_watch_has_lost_its_place_asks_others_before_it_reads() {
    let (mut router, from) = asking(30);
    fetched(&mut router, from, Some(snapshot()));
    let gone = InstanceId::new("e99");
    let mut entry = engine(99, None).1;
    entry.service = "gate".into();
    router.change("e99", Some(entry));
    router.take_effects();
    router.tell(DirectEvent::ListLost);
    assert!(router.state().listed, "what is known stays in use");
    router.advance_ms(40);
    let (asked, reads) = sources(&mut router);
    assert!(asked.len() == 1 && !reads, "{asked:?}");
    // Digests have told of more than the router asked knows.
    router.state().digests.known_upto = at(FENCE + 1);
    fetched(&mut router, asked[0], Some(snapshot()));
    assert!(router.state().endpoints[&gone].listed);
    let mut newer = snapshot();
    newer.at = at(FENCE + 1);
    router.advance_ms(60);
    fetched(&mut router, asked[0], Some(newer));
    assert!(!router.state().endpoints[&gone].listed);
}

/// What comes from outside is checked: the age, the era of the store, and the format.
#[test]
fn a_snapshot_that_is_old_or_wrong_is_refused_with_what_was_found() {
    let mut old = snapshot();
    old.age = 1_501;
    let mut other_era = snapshot();
    other_era.at = StorePosition {
        era: 3,
        revision: 9,
    };
    let wrong = |field: &str, value: u64| -> ListSnapshot {
        let mut document = serde_json::to_value(snapshot()).expect("a document");
        match field {
            "format" => document["format"] = value.into(),
            _ => document["rows"][0][field] = value.into(),
        }
        serde_json::from_value(document).expect("a snapshot")
    };
    for (case, why) in [
        (old, "found 1501 ms"),
        (other_era, "found 3, expected 0"),
        (wrong("format", 2), "found 2, expected 1"),
        (wrong("h", 999), "found name 999"),
    ] {
        let (mut router, from) = asking(30);
        router.tell(DirectEvent::StoreEra(0));
        fetched(&mut router, from, Some(case));
        assert!(!router.state().listed, "{why}");
        let named = |e: &Effect| match e {
            Effect::Log(event) if event.code == LogCode::ListRefused => {
                event.fields.iter().any(|(_, text)| text.contains(why))
            }
            _ => false,
        };
        assert!(
            router.effects.iter().any(named),
            "{why}: {:?}",
            router.effects
        );
    }
}

#[test]
fn a_router_whose_list_may_be_old_sends_none() {
    let mut router = Router::new(entries());
    let now = router.now;
    assert!(runrail::logic::direct::snapshot(router.state(), now + 1_400).is_some());
    assert!(runrail::logic::direct::snapshot(router.state(), now + 1_600).is_none());
    let mut bare = Router::bare();
    assert!(runrail::logic::direct::snapshot(bare.state(), 1_000).is_none());
}

/// Names of the length that platforms use, in groups of 32.
#[test]
fn a_snapshot_of_750_endpoints_takes_less_than_100_kilobytes() {
    let entry = |n: u16| {
        let group = format!("g{}", 439_000 + u32::from(n) / 32);
        let (_, mut entry) = engine(n, seat(&group, usize::from(n % 32), SeatState::Ready));
        entry.addr = SocketAddr::from(([10, 4, 64, 163], 8_640));
        entry.service = "wuwu32a".into();
        entry.hall = format!("hall-{}", n % 5).into();
        entry.domain = format!("hall-{}-d{}", n % 5, n % 10).into();
        entry.born = Some(1_790_000_000_000);
        entry.beats = 60;
        (InstanceId::new(&format!("i-{n:010x}")), entry)
    };
    let mut router = Router::new((0..750).map(entry).collect());
    let now = router.now;
    let snapshot = runrail::logic::direct::snapshot(router.state(), now).expect("a snapshot");
    let mut bytes = Vec::new();
    ciborium::into_writer(&snapshot, &mut bytes).expect("encoded");
    println!("{} bytes", bytes.len());
    assert!(bytes.len() < 100_000, "{}", bytes.len());
}

/// Real processes: all ten are killed and start again, and two of them get the list from others.
#[test]
fn processes_that_start_together_get_the_list_from_each_other() {
    let dir = tempfile::tempdir().expect("a folder");
    let (_standin, mut routers) = testkit::direct::start_fleet(10, 4, dir.path());
    let all_serve = |routers: &[testkit::direct::Router]| {
        let answers = routers.iter().enumerate();
        answers
            .into_iter()
            .all(|(n, r)| served(r, &format!("up-{n}")))
    };
    until("all serve", Duration::from_secs(10), || all_serve(&routers));
    // Each has the others' addresses by now.
    let known = |r: &testkit::direct::Router| r.metrics().contains("runrail_routers_known 10");
    until("all know each other", Duration::from_secs(10), || {
        routers.iter().all(known)
    });
    let log = |n| std::fs::read_to_string(dir.path().join(format!("r{n}.log"))).unwrap_or_default();
    let fetched = || {
        (1..=10)
            .map(|n| log(n).matches("E626").count())
            .sum::<usize>()
    };
    let before = fetched();
    routers.iter_mut().for_each(|r| r.kill());
    routers.iter_mut().for_each(|r| r.restart());
    until("all serve again", Duration::from_secs(10), || {
        all_serve(&routers)
    });
    assert_eq!(fetched() - before, 2);
}
