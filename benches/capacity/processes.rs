//! Measures real processes: CPU time of a request and of a piece, memory, and store calls
//! when idle.

use std::time::{Duration, Instant};

use testkit::{Chat, EngineParams, Fleet, FleetPlan};

const REQUESTS: u64 = 400;
const CALLERS: u64 = 8;
/// Frequency of the clock ticks in which /proc/PID/stat gives CPU times.
const TICKS_PER_S: f64 = 100.0;

pub fn run() {
    let engine = EngineParams {
        piece: Duration::from_millis(1),
        slots: 64,
        ..EngineParams::default()
    };
    let fleet = Fleet::serving(
        env!("CARGO_BIN_EXE_runrail"),
        &FleetPlan {
            engine,
            ..FleetPlan::default()
        },
    );
    let leader = fleet.members("e1")[0].clone();
    let member = fleet.members("e1")[1].clone();
    measure_idle(&fleet, &leader, &member);
    println!("| pieces | requests/s | router CPU us per request | leader CPU us per request |\n|---|---|---|---|");
    let mut rows = Vec::new();
    for pieces in [4, 20, 60] {
        let before = (cpu_s(&fleet, "e1"), cpu_s(&fleet, &leader));
        let start = Instant::now();
        send_requests(&fleet, pieces);
        let elapsed = start.elapsed().as_secs_f64();
        let us_per_request = |now: f64, then: f64| (now - then) * 1e6 / REQUESTS as f64;
        let router_us = us_per_request(cpu_s(&fleet, "e1"), before.0);
        let leader_us = us_per_request(cpu_s(&fleet, &leader), before.1);
        println!(
            "| {pieces} | {:.0} | {router_us:.0} | {leader_us:.0} |",
            REQUESTS as f64 / elapsed
        );
        rows.push((pieces as f64, router_us, leader_us));
    }
    let (first, last) = (rows[0], rows[2]);
    let slope = |x: f64, y: f64| (y - x) / (last.0 - first.0);
    println!(
        "\nslope: router {:.1} us per piece, leader {:.1} us per piece",
        slope(first.1, last.1),
        slope(first.2, last.2)
    );
    measure_streams(&fleet, &leader);
    println!(
        "memory: router {} KiB, leader {} KiB, member {} KiB",
        resident_kib(&fleet, "e1"),
        resident_kib(&fleet, &leader),
        resident_kib(&fleet, &member)
    );
}

/// Measures CPU time, memory and store calls while no request is sent.
fn measure_idle(fleet: &Fleet, leader: &str, member: &str) {
    let ids = ["e1", leader, member];
    let before: Vec<_> = ids.iter().map(|i| cpu_s(fleet, i)).collect();
    let calls = fleet.platform.calls();
    std::thread::sleep(Duration::from_secs(10));
    let after = fleet.platform.calls();
    println!("| idle for 10 s | CPU % of a core | KiB resident |\n|---|---|---|");
    for (i, id) in ids.iter().enumerate() {
        let percent = (cpu_s(fleet, id) - before[i]) * 10.0;
        let role = ["router", "leader", "member"][i];
        println!("| {role} | {percent:.2} | {} |", resident_kib(fleet, id));
    }
    println!(
        "\nstore calls in 10 s: {} reads, {} writes, {} watches opened\n",
        after.0 - calls.0,
        after.1 - calls.1,
        after.2 - calls.2
    );
}

/// Measures the memory of many concurrent streams that wait most of the time.
fn measure_streams(fleet: &Fleet, leader: &str) {
    println!("| open streams | router KiB | leader KiB |\n|---|---|---|");
    for engine in fleet.engines.values() {
        engine.set_params(|k| {
            k.slots = 1_000;
            k.piece = Duration::from_millis(200);
        });
    }
    std::thread::sleep(Duration::from_secs(1));
    for count in [50, 100, 200] {
        std::thread::scope(|scope| {
            for _ in 0..count {
                scope.spawn(|| {
                    fleet.chat(
                        "e1",
                        &Chat {
                            pieces: 20,
                            ..Chat::default()
                        },
                    )
                });
            }
            testkit::until(Duration::from_secs(3), || {
                fleet.status("e1")["requests"] == count
            });
            println!(
                "| {count} | {} | {} |",
                resident_kib(fleet, "e1"),
                resident_kib(fleet, leader)
            );
        });
    }
}

fn send_requests(fleet: &Fleet, pieces: u64) {
    std::thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                for _ in 0..REQUESTS / CALLERS {
                    let answer = fleet.chat(
                        "e1",
                        &Chat {
                            pieces,
                            ..Chat::default()
                        },
                    );
                    assert!(answer.is_answered(), "{answer:?}");
                }
            });
        }
    });
}

fn pid(fleet: &Fleet, id: &str) -> u32 {
    let process = fleet.routers.get(id).or_else(|| fleet.agents.get(id));
    process.expect("the fleet has this router or agent").pid()
}

/// Returns the CPU time of a process so far, in seconds.
fn cpu_s(fleet: &Fleet, id: &str) -> f64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/stat", pid(fleet, id))).unwrap_or_default();
    let fields: Vec<_> = text
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Returns the resident memory of a process, in KiB.
fn resident_kib(fleet: &Fleet, id: &str) -> u64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/status", pid(fleet, id))).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
