//! Entries of the list and operators' documents that other programs wrote.

use std::time::Duration;

use runrail::logic::direct::DirectEffect;
use runrail::types::InstanceId;

use crate::fixture::{engine, open_group, order, seat, Router};
use testkit::direct::config;
use testkit::direct::{fleet, logs, served, until};

/// Guards against an endpoint being used by its last readable entry after its entry has become
/// unreadable.
#[test]
fn an_endpoint_whose_entry_becomes_unreadable_is_not_used() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(4, dir.path());
    let listed = |n: usize| {
        let metric = format!("runrail_endpoints {n}");
        routers.iter().all(|r| r.metrics().contains(&metric))
    };
    until("all are listed", Duration::from_secs(5), || listed(6));
    standin.world().silence("p1");
    for wrong in ["not json", "{\"Service\":7}", "\u{0}\u{1}"] {
        standin.world().configure_key("servers/p1", wrong);
        until("it is not used", Duration::from_secs(5), || listed(5));
    }
    let unnamed = "{\"Service\":\"gate\",\"Address\":\"127.0.0.1:9\",\"Zone\":\"h1\",\
                   \"Slots\":4,\"State\":\"resting\",\"Seq\":3,\
                   \"Version\":\"v1\",\"ColdLeftMs\":0}";
    standin.world().configure_key("servers/other", unnamed);
    std::thread::sleep(Duration::from_millis(300));
    assert!(listed(5), "{}", logs(dir.path()));
    assert!(served(&routers[0], "held"), "the others hold");
}

/// Guards against taking an entry without a domain for one of a plain service, so that it gets
/// streams.
#[test]
fn an_endpoint_without_a_place_serves_nothing_of_a_service_with_groups() {
    let (id, mut entry) = engine(7, None);
    entry.domain = "".into();
    let mut router = Router::new(vec![(id, entry)]);
    let effects = router.ask(1, "/stream/x");
    let sent = effects.iter().any(|e| matches!(e, DirectEffect::Run(_)));
    assert!(!sent, "{effects:?}");
}

/// Guards against orders to endpoints of a service that isn't in the operators' document.
#[test]
fn groups_of_a_service_that_operators_do_not_name_get_no_orders() {
    let mut entries = open_group("g", [1, 2, 3]);
    for rank in 0..2 {
        let n = 20 + rank as u16;
        let (id, mut entry) = engine(n, seat("x", rank, runrail::types::SeatState::Ready));
        entry.service = "elsewhere".into();
        entries.push((id, entry));
    }
    let mut router = Router::planner(entries);
    router.advance_ms(8_000);
    let foreign = |id: &str| id == "e20" || id == "e21";
    let effects = router.take_effects();
    let orders: Vec<_> = effects.iter().filter_map(order).collect();
    assert!(orders.iter().all(|(_, id, _)| !foreign(id)), "{orders:?}");
    let known = router
        .state()
        .endpoints
        .contains_key(&InstanceId::new("e20"));
    assert!(known, "it is listed all the same");
}

/// Guards against taking the newest change of any key with this prefix for the document's.
#[test]
fn a_key_that_begins_like_the_documents_hides_no_change_of_it() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(4, dir.path());
    {
        let mut world = standin.world();
        world.configure(&config(2));
        world.configure_key("op/config-draft", &config(9));
    }
    until("the version is in force", Duration::from_secs(3), || {
        routers.iter().all(|r| r.routing() == Some(2))
    });
}
