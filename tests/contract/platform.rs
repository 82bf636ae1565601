//! Behaviour that is expected of every implementation of the platform's key-value
//! service and instance list.

use std::sync::mpsc::channel;
use std::time::Duration;

use runrail::etcd::{KvClient, PlatformSettings, Watcher};
use runrail::logic::router::{
    KeyWrite, RevisionCheck, StoreCall, StoreChange, StoreReply, StoreResult,
};
use testkit::{Platform, PlatformFault};

const TIMEOUT: Duration = Duration::from_secs(20);

fn settings(platform: &Platform) -> PlatformSettings {
    PlatformSettings {
        kv_addrs: vec![platform.addr()],
        list_addr: platform.addr(),
        ..PlatformSettings::default()
    }
}

/// A client that makes one call at a time and waits for its result.
struct Calls {
    client: KvClient,
    results: std::sync::mpsc::Receiver<StoreResult>,
}

impl Calls {
    fn start(platform: &Platform) -> Self {
        let (sender, results) = channel();
        let client = KvClient::start(&settings(platform), move |_, result| {
            let _ = sender.send(result);
        });
        Self {
            client: client.expect("threads"),
            results,
        }
    }

    fn call(&self, call: StoreCall) -> StoreResult {
        self.client.call(1, call);
        self.results.recv_timeout(TIMEOUT).expect("a result")
    }

    fn swap(&self, key: &str, revision: i64, value: &str, lease: Option<i64>) -> StoreResult {
        self.call(StoreCall::Transaction {
            checks: vec![RevisionCheck {
                key: key.into(),
                revision,
            }],
            puts: vec![KeyWrite {
                key: key.into(),
                value: value.into(),
                lease,
            }],
            deletes: Vec::new(),
            reads: vec![key.into()],
        })
    }
}

#[test]
fn a_swap_is_written_only_at_the_revision_it_names() {
    let calls = Calls::start(&Platform::start());
    let Ok(StoreReply::Transaction {
        done: true,
        revision,
        ..
    }) = calls.swap("k", 0, "one", None)
    else {
        panic!("the first write was refused");
    };
    let late = calls.swap("k", 0, "two", None);
    let Ok(StoreReply::Transaction {
        done: false,
        entries,
        ..
    }) = late
    else {
        panic!("{late:?}");
    };
    assert_eq!(
        (entries[0].value.as_str(), entries[0].revision),
        ("one", revision)
    );
    assert!(matches!(
        calls.swap("k", revision, "two", None),
        Ok(StoreReply::Transaction { done: true, .. })
    ));
}

#[test]
fn a_prefix_is_read_without_its_neighbours() {
    let calls = Calls::start(&Platform::start());
    for key in ["a/1", "a/2", "b/1", "a0"] {
        assert!(calls.swap(key, 0, "v", None).is_ok());
    }
    let read = calls.call(StoreCall::Read {
        key: "a/".into(),
        prefix: true,
    });
    let Ok(StoreReply::Entries { entries, .. }) = read else {
        panic!("{read:?}");
    };
    let keys: Vec<_> = entries.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2"]);
}

#[test]
fn a_key_is_deleted_when_its_lease_expires() {
    let platform = Platform::start();
    let calls = Calls::start(&platform);
    let Ok(StoreReply::Lease { lease, ttl_s: 1 }) = calls.call(StoreCall::Grant { ttl_s: 1 })
    else {
        panic!("no lease");
    };
    assert!(calls.swap("k", 0, "v", Some(lease)).is_ok());
    let renewed = calls.call(StoreCall::Renew { lease });
    assert!(matches!(renewed, Ok(StoreReply::Lease { ttl_s: 1, .. })));
    let gone = testkit::until(TIMEOUT, || {
        let read = calls.call(StoreCall::Read {
            key: "k".into(),
            prefix: false,
        });
        matches!(read, Ok(StoreReply::Entries { entries, .. }) if entries.is_empty())
    });
    assert!(gone);
    let ended = calls.call(StoreCall::Renew { lease });
    assert!(matches!(ended, Ok(StoreReply::Lease { ttl_s: 0, .. })));
}

#[test]
fn an_outage_is_a_fault_and_a_lost_answer_may_have_been_written() {
    let platform = Platform::start();
    let calls = Calls::start(&platform);
    platform.set_fault(PlatformFault::Down);
    assert!(calls.swap("k", 0, "v", None).is_err());
    assert_eq!(platform.get("k"), None);
    platform.set_fault(PlatformFault::LoseWriteAnswers);
    assert!(calls.swap("k", 0, "v", None).is_err());
    assert_eq!(platform.get("k").as_deref(), Some("v"));
}

#[test]
fn a_watch_reports_changes_in_order_and_its_own_loss() {
    let platform = Platform::start();
    platform.put("a/1", "one");
    platform.put("a/2", "two");
    let (sender, changes) = channel();
    let watcher = Watcher::new(&settings(&platform), "a/", move |c| {
        let _ = sender.send(c);
    });
    watcher.start(2);
    let mut seen: Vec<StoreChange> = Vec::new();
    while seen.len() < 2 {
        seen.extend(
            changes
                .recv_timeout(TIMEOUT)
                .expect("changes")
                .expect("no loss"),
        );
    }
    platform.put("a/3", "three");
    seen.extend(
        changes
            .recv_timeout(TIMEOUT)
            .expect("changes")
            .expect("no loss"),
    );
    let keys: Vec<_> = seen.iter().map(|c| c.key.as_str()).collect();
    assert_eq!(keys, ["a/1", "a/2", "a/3"]);
    platform.set_fault(PlatformFault::Down);
    assert_eq!(
        changes.recv_timeout(TIMEOUT).expect("a report of the loss"),
        None
    );
}

#[test]
fn the_instance_list_is_sent_again_only_when_it_has_changed() {
    use runrail::etcd::ListClient;
    use runrail::logic::router::ListReply;
    let platform = Platform::start();
    let row = |id: &str, hall: &str, kind: &str| testkit::ListedInstance {
        id: id.into(),
        hall: hall.into(),
        domain: "d".into(),
        kind: kind.into(),
        state: "live".into(),
        addr: platform.addr(),
    };
    platform.set_instances(vec![
        row("here", "h1", "engine"),
        row("there", "h2", "engine"),
        row("far-router", "h2", "router"),
    ]);
    let (sender, lists) = channel();
    let client = ListClient::start(&settings(&platform), "h1", move |l| {
        let _ = sender.send(l);
    });
    let client = client.expect("a thread");
    let fetch = || {
        client.fetch();
        lists.recv_timeout(TIMEOUT).expect("a list")
    };
    let ListReply::Instances(instances) = fetch() else {
        panic!("no list");
    };
    let names: Vec<_> = instances.iter().map(|i| i.id.as_str()).collect();
    assert_eq!(names, ["here", "far-router"]);
    assert_eq!(fetch(), ListReply::Unchanged);
    platform.set_state("here", Some("leaving"));
    assert!(matches!(fetch(), ListReply::Instances(i) if !i[0].is_live()));
    platform.set_fault(PlatformFault::Down);
    assert_eq!(fetch(), ListReply::Unreachable);
}
