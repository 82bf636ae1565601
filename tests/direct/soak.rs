//! The whole path as real processes against the stand-in, with random faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::processes::{call, fleet, logs, served, until};
use crate::standin::{config, EVENTS};

#[test]
fn the_whole_path_serves_streams_and_calls_and_a_stop_cuts_nothing() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(5, dir.path());
    let once = call(routers[1].callers, "POST", "/once/x", "only").expect("an answer");
    assert_eq!(once.status, 200, "{once:?}");
    let none = call(routers[0].callers, "GET", "/none/x", "x").expect("an answer");
    assert_eq!(none.status, 404);
    let figures = call(routers[0].ready, "GET", "/metrics", "").expect("figures");
    let counted = "runrail_total_ms_count{account=\"ann\",class=";
    assert!(figures.body.contains(counted), "{}", figures.body);
    assert!(
        figures.body.contains("runrail_groups_open 1"),
        "{}",
        figures.body
    );
    let callers = routers[0].callers;
    let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "last"));
    std::thread::sleep(Duration::from_millis(60));
    let pid = nix::unistd::Pid::from_raw(routers[0].child.id() as i32);
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM).expect("a signal");
    let answer = streaming.join().expect("a thread").expect("an answer");
    assert!(
        answer.complete && answer.events().len() as u64 == EVENTS,
        "{answer:?}"
    );
    until("it ends in order", Duration::from_secs(10), || {
        routers[0]
            .child
            .try_wait()
            .is_ok_and(|s| s.is_some_and(|s| s.success()))
    });
    assert!(standin.world().broken.is_empty());
}

#[test]
fn a_lost_member_is_replaced_and_its_streams_are_whole() {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, routers) = fleet(5, dir.path());
    for round in 0..2 {
        // The router may hear of the group later than the stand-in shows it.
        until("the router serves", Duration::from_secs(5), || {
            served(&routers[round % 2], "again")
        });
        let group = standin.open_groups().pop().expect("a group");
        let callers = routers[round % 2].callers;
        let streaming = std::thread::spawn(move || call(callers, "POST", "/stream/x", "moved"));
        std::thread::sleep(Duration::from_millis(80));
        // The last member first, then the head.
        let victim = if round == 0 { &group[2] } else { &group[0] };
        standin.kill(victim);
        let answer = streaming.join().expect("a thread").expect("an answer");
        let wanted: Vec<u64> = (1..=EVENTS).collect();
        assert!(answer.complete, "{answer:?}\n{}", logs(dir.path()));
        assert_eq!(answer.events(), wanted, "no event lost, none twice");
        until("the group is back", Duration::from_secs(20), || {
            standin.open_groups().iter().any(|g| !g.contains(victim))
        });
    }
    let broken = standin.world().broken.clone();
    assert!(broken.is_empty(), "{broken:?}");
}

/// Clients that call until they are told to stop; what they saw wrong.
fn clients(
    addrs: Vec<SocketAddr>,
    stop: &Arc<AtomicBool>,
    wrong: &Arc<Mutex<Vec<String>>>,
) -> Vec<std::thread::JoinHandle<u64>> {
    let number = Arc::new(AtomicU64::new(0));
    let client = |kind: &'static str| {
        let (addrs, stop, wrong, number) =
            (addrs.clone(), stop.clone(), wrong.clone(), number.clone());
        std::thread::spawn(move || {
            let mut whole = 0;
            while !stop.load(Ordering::Relaxed) {
                let n = number.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("{kind}{n}");
                let path = format!("/{kind}/x");
                let answer = call(addrs[n as usize % addrs.len()], "POST", &path, &attempt);
                let Some(answer) = answer.filter(|a| a.status == 200 && a.complete) else {
                    std::thread::sleep(Duration::from_millis(20));
                    continue;
                };
                whole += 1;
                let wanted: Vec<u64> = (1..=EVENTS).collect();
                if kind == "stream" && answer.events() != wanted {
                    let told = format!("{attempt}: {:?}", answer.events());
                    wrong.lock().expect("a list").push(told);
                }
            }
            whole
        })
    };
    vec![
        client("stream"),
        client("stream"),
        client("once"),
        client("safe"),
    ]
}

/// Random faults from a seed; what must hold is checked throughout.
fn soak(seed: u64, faults: u32) {
    let dir = tempfile::tempdir().expect("a folder");
    let (standin, mut routers) = fleet(6, dir.path());
    let (stop, wrong) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(Mutex::new(Vec::new())),
    );
    let addrs: Vec<_> = routers.iter().map(|r| r.callers).collect();
    let clients = clients(addrs, &stop, &wrong);
    let mut rng = fastrand::Rng::with_seed(seed);
    for n in 0..faults {
        match rng.u32(0..5) {
            0 => routers[rng.usize(0..2)].restart(),
            1 | 2 => {
                let group = standin.open_groups().pop().unwrap_or_default();
                if let Some(victim) = rng.choice(&group) {
                    standin.kill(victim);
                    standin.add(&format!("n{seed}-{n}"), "pool");
                }
            }
            3 => {
                standin.world().store_down = true;
                std::thread::sleep(Duration::from_millis(rng.u64(200..900)));
                standin.world().store_down = false;
            }
            _ => {
                let text = config(u64::from(n) + 2);
                standin.world().configure(&text);
            }
        }
        std::thread::sleep(Duration::from_millis(rng.u64(100..900)));
    }
    until(
        "it serves again after the last fault",
        Duration::from_secs(30),
        || {
            routers
                .iter()
                .all(|r| served(r, &format!("after-{}", r.id)))
        },
    );
    stop.store(true, Ordering::Relaxed);
    let whole: u64 = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .sum();
    let world = standin.world();
    let twice: Vec<_> = world.once.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "seed {seed}: run twice: {twice:?}");
    assert!(world.broken.is_empty(), "seed {seed}: {:?}", world.broken);
    let wrong = wrong.lock().expect("a list");
    assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    assert!(whole > 0, "seed {seed}: nothing was served");
}

#[test]
fn random_faults_break_no_promise() {
    soak(1, 8);
}

/// Longer, with seeds of its own: `SOAK=40 cargo test --test direct soak -- --ignored`.
#[test]
#[ignore = "a soak of minutes; SOAK names how many seeds"]
fn random_faults_break_no_promise_for_many_seeds() {
    let seeds = std::env::var("SOAK").ok().and_then(|n| n.parse().ok());
    for seed in 100..100 + seeds.unwrap_or(10) {
        soak(seed, 12);
        println!("seed {seed} held");
    }
}
