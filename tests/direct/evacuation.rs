//! Data halls that operators evacuate.

use std::sync::Arc;
use std::time::{Duration, Instant};

use runrail::logic::direct::{
    DirectEffect, DirectEvent, HallChange, PeerMessage, Problem, RunPart,
};
use runrail::types::{EndpointEntry, InstanceId, SeatState, StorePosition};

use crate::fixture::{
    addr, at, empty_digest, engine, open_group, piece, plain, problem, receive_digest, run, seat,
    Router, FENCE,
};
use testkit::direct::{call, fleet, logs, until};

const HALL: &str = "h1";

/// An endpoint in the second hall.
fn elsewhere(mut found: (InstanceId, EndpointEntry)) -> (InstanceId, EndpointEntry) {
    found.1.hall = "h2".into();
    found.1.domain = if found.1.domain.is_empty() { "" } else { "d2" }.into();
    found
}

/// A group in the first hall and one in the second.
fn two_halls() -> Vec<(InstanceId, EndpointEntry)> {
    let second = open_group("g2", [4, 5, 6]).into_iter().map(elsewhere);
    open_group("g1", [1, 2, 3])
        .into_iter()
        .chain(second)
        .collect()
}

fn change(router: &mut Router, hall: &str, revision: i64, evacuated: bool) {
    let hall = hall.into();
    router.tell(DirectEvent::HallChanges {
        at: at(revision),
        changes: vec![HallChange {
            hall,
            revision,
            evacuated,
        }],
    });
}

fn read(router: &mut Router, at: StorePosition, halls: &[&str]) {
    let halls = halls.iter().map(|hall| Arc::from(*hall)).collect();
    router.tell(DirectEvent::HallsRead { at, halls });
}

/// The endpoints that so many requests are sent to; each is answered once all are sent.
fn targets(router: &mut Router, count: u64) -> Vec<String> {
    let first = 1_000 + router.now;
    let ids = first..first + count;
    let sent: Vec<_> = ids.map(|id| run(&router.ask(id, "/stream/x"))).collect();
    for run in &sent {
        let answered = RunPart::Complete {
            status: 200,
            not_run: false,
        };
        router.part(run.run, answered);
    }
    sent.into_iter().map(|run| run.to.to_string()).collect()
}

#[test]
fn an_evacuated_hall_gets_no_requests_until_it_is_taken_back() {
    let mut router = Router::new(two_halls());
    assert!(targets(&mut router, 8).contains(&"e1".to_string()));
    change(&mut router, HALL, 20, true);
    assert_eq!(targets(&mut router, 8), vec!["e4"; 8]);
    change(&mut router, HALL, 21, false);
    assert!(targets(&mut router, 16).contains(&"e1".to_string()));
}

#[test]
fn what_runs_in_an_evacuated_hall_ends_there_and_what_fails_goes_elsewhere() {
    let mut router = Router::new(two_halls());
    change(&mut router, "h2", 19, true);
    let stays = run(&router.ask(1, "/stream/x"));
    let fails = run(&router.ask(2, "/stream/x"));
    change(&mut router, "h2", 20, false);
    change(&mut router, HALL, 21, true);
    router.part(stays.run, RunPart::Head);
    let passed = router.part(stays.run, piece(1));
    assert!(matches!(passed[..], [DirectEffect::PassEvent { .. }]));
    router.part(fails.run, RunPart::Head);
    let resumed = router.part(fails.run, RunPart::Broken);
    assert_eq!(run(&resumed).to.as_str(), "e4");
}

#[test]
fn requests_are_refused_at_once_while_every_hall_is_evacuated() {
    let mut router = Router::new(two_halls());
    targets(&mut router, 4);
    // These wait: no head has room.
    for id in ["e1", "e4"] {
        let view = router.state().endpoints.get_mut(&InstanceId::new(id));
        view.expect("a head").backoff_until = u64::MAX;
    }
    assert_eq!(problem(&router.ask(1, "/stream/x")), None);
    change(&mut router, HALL, 20, true);
    assert_eq!(
        problem(&router.take_effects()),
        None,
        "the other hall is left"
    );
    change(&mut router, "h2", 21, true);
    let waited = problem(&router.take_effects());
    assert!(
        matches!(waited, Some(Problem::NotRun(ms)) if ms > 0),
        "{waited:?}"
    );
    let new = problem(&router.ask(2, "/stream/x"));
    assert!(
        matches!(new, Some(Problem::NotRun(ms)) if ms > 0),
        "{new:?}"
    );
    change(&mut router, "h2", 22, false);
    assert_eq!(problem(&router.ask(3, "/stream/x")), None);
}

/// One hall is evacuated while the heads of the other are silent: requests wait for those, as they
/// do without an evacuation, and go to none of the evacuated hall.
#[test]
fn a_dark_hall_beside_an_evacuated_one_gets_no_request_of_its_place() {
    let mut router = Router::new(two_halls());
    change(&mut router, HALL, 20, true);
    let view = router.state().endpoints.get_mut(&InstanceId::new("e4"));
    view.expect("a head").silent_since = Some(1_000);
    let effects = router.ask(1, "/stream/x");
    assert!(!effects.iter().any(|e| matches!(e, DirectEffect::Run(_))));
}

#[test]
fn a_router_that_is_cut_from_the_store_learns_of_evacuations_by_digests() {
    let routers = [InstanceId::new("r0"), InstanceId::new("r1")];
    let mut router = Router::named("r1", &routers, two_halls());
    let mut digest = empty_digest(1, at(FENCE));
    digest.halls = vec![HALL.into()];
    digest.halls_at = at(30);
    receive_digest(&mut router, digest);
    assert_eq!(targets(&mut router, 8), vec!["e4"; 8]);
    // Its own watch goes on from an earlier position and shows what is over.
    change(&mut router, HALL, 29, false);
    assert_eq!(targets(&mut router, 8), vec!["e4"; 8]);
    // A planner that has read less doesn't undo what is known.
    let mut older = empty_digest(2, at(FENCE));
    older.halls_at = at(28);
    receive_digest(&mut router, older);
    assert_eq!(targets(&mut router, 8), vec!["e4"; 8]);
    let mut newer = empty_digest(3, at(FENCE));
    newer.halls_at = at(31);
    receive_digest(&mut router, newer);
    assert!(targets(&mut router, 16).contains(&"e1".to_string()));
}

#[test]
fn a_planner_tells_of_an_evacuation_at_once() {
    let mut router = Router::planner(two_halls());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(2_000));
    router.advance_ms(500);
    router.sent_messages();
    change(&mut router, HALL, 20, true);
    router.advance_ms(60);
    let sent = router.sent_messages();
    let tells = |m: &PeerMessage| matches!(m, PeerMessage::Digest(d) if d.halls == [Arc::from(HALL)] && d.halls_at == at(20));
    assert!(sent.iter().any(|(_, m)| tells(m)), "{sent:?}");
}

/// Guards against a watch that has lost its place: the full reading names what is evacuated now.
#[test]
fn a_reading_of_all_keys_replaces_what_is_known() {
    let mut router = Router::new(two_halls());
    change(&mut router, HALL, 20, true);
    read(&mut router, at(25), &["h2"]);
    assert_eq!(targets(&mut router, 8), vec!["e1"; 8]);
    read(&mut router, at(24), &[HALL]);
    assert_eq!(targets(&mut router, 8), vec!["e1"; 8], "an older reading");
}

/// A store that was restored from a backup may lack the request; operators write it again.
#[test]
fn an_evacuation_outlasts_a_restored_store_until_operators_have_written_again() {
    let mut router = Router::new(two_halls());
    change(&mut router, HALL, 20, true);
    let restored = |revision| StorePosition { era: 1, revision };
    read(&mut router, restored(10), &[]);
    assert_eq!(targets(&mut router, 8), vec!["e4"; 8]);
    router.advance_ms(1_900);
    read(&mut router, restored(11), &[]);
    assert_eq!(targets(&mut router, 4), vec!["e4"; 4]);
    router.advance_ms(200);
    assert!(targets(&mut router, 16).contains(&"e1".to_string()));
}

#[test]
fn the_planner_forms_no_group_in_an_evacuated_hall_and_counts_none_there() {
    let mut entries = two_halls();
    entries.extend((11..=13).map(|n| engine(n, None)));
    entries.extend((21..=23).map(|n| elsewhere(engine(n, None))));
    entries.push(plain(1));
    let mut router = Router::new(entries);
    router.state().plan.has_traffic = true;
    change(&mut router, HALL, 20, true);
    router.advance_ms(2_000);
    let joins = router.joins();
    let formed_at: Vec<_> = joins.iter().flat_map(|(_, members)| members).collect();
    let in_hall = |id: &&&String| id.starts_with("e1");
    assert_eq!(formed_at.iter().filter(in_hall).count(), 0, "{joins:?}");
    assert!(formed_at.iter().any(|id| id.starts_with("e2")), "{joins:?}");
    let first = router.state().endpoints[&InstanceId::new("e1")]
        .entry
        .clone();
    assert_eq!(
        first.seat,
        seat("g1", 0, SeatState::Open),
        "its group stays"
    );
    change(&mut router, HALL, 21, false);
    router.advance_ms(2_000);
    let joins = router.joins();
    assert!(
        joins.iter().any(|(_, m)| m[0].starts_with("e1")),
        "{joins:?}"
    );
}

/// All three routers, as real processes, and one that starts later.
#[test]
fn processes_keep_to_an_evacuation_and_name_unknown_keys_once() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(3, dir.path());
    let evacuated = |n: u32| {
        let metric = format!("runrail_halls_evacuated {n}");
        routers.iter().all(|r| r.metrics().contains(&metric))
    };
    standin.world().configure_key("op/evacuate/h1", "{}");
    standin.world().configure_key("op/pause/h1", "{}");
    until("it is in force", Duration::from_secs(5), || evacuated(1));
    let begin = Instant::now();
    for router in &routers {
        let answer = call(router.callers, "GET", "/safe/x", "evacuated").expect("an answer");
        assert_eq!(answer.status, 503);
    }
    assert!(standin.world().arrivals("p0", begin).is_empty());
    standin
        .world()
        .configure_key("op/pause/h1", "{\"again\":1}");
    standin.world().remove_key("op/evacuate/h1");
    until("it has ended", Duration::from_secs(5), || evacuated(0));
    let status = |r: &testkit::direct::Router| {
        call(r.callers, "GET", "/safe/x", "returned").map(|a| a.status)
    };
    until("it serves", Duration::from_secs(5), || {
        status(&routers[0]) == Some(200)
    });
    let text = logs(dir.path());
    assert_eq!(text.matches("E606").count(), routers.len(), "{text}");
}
