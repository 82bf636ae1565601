//! Listeners for other processes, at routers and agents.

use std::net::SocketAddr;
use std::sync::Arc;

use testkit::{until, Chat, Crowd, CrowdClient, Fleet, FleetPlan, ProcessLimits, LONG};

use crate::bodies::stuck;
use crate::crowd::{alone, check_bounds, wait_idle, Bounds};
use crate::BINARY;

/// Longest frame, which a peer may send before it has shown that it holds the fleet's key.
const FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Clients of a crowd that fills memory.
const CLIENTS: usize = 64;

/// Sessions of a process in the tests of stuck clients, and clients of the crowd.
const SESSIONS: usize = 16;
const STUCK_CLIENTS: usize = 320;

/// Descriptors of a process in the tests of connections.
const DESCRIPTORS: usize = 128;

/// Descriptors of a process on the smallest machine.
const MAX_DESCRIPTORS: usize = 2_048;

const UPGRADE: &str = "GET / HTTP/1.1\r\nHost: runrail\r\nUpgrade: websocket\r\n\
    Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// Clients that send a frame of the largest size but for its last byte.
fn frames(clients: usize) -> Vec<CrowdClient> {
    let mut body = vec![0x82, 0xff];
    body.extend_from_slice(&(FRAME_BYTES as u64).to_be_bytes());
    body.extend_from_slice(&[0; 4]);
    body.resize(body.len() + FRAME_BYTES - 1, b'x');
    let client = CrowdClient {
        head: format!("{UPGRADE}\r\n"),
        awaits_answer: true,
        body: Arc::from(body),
        step: FRAME_BYTES,
    };
    vec![client; clients]
}

/// Clients that stop before, within and after the upgrade.
fn stuck_sessions(clients: usize) -> Vec<CrowdClient> {
    let mut clients = stuck(UPGRADE, clients);
    for client in clients.iter_mut().step_by(2) {
        client.head = format!("{UPGRADE}\r\n");
        client.awaits_answer = true;
    }
    clients
}

/// The processes whose listeners a test meets: the router, the leader of the group and another member.
fn processes(fleet: &Fleet) -> Vec<(String, SocketAddr, u32)> {
    let router = &fleet.routers["e1"];
    let mut found = vec![("e1".to_string(), router.peers, router.pid())];
    for id in fleet.members("e1").into_iter().take(2) {
        let agent = &fleet.agents[&id];
        found.push((id, agent.peers, agent.pid()));
    }
    found
}

/// Waits until requests are answered once all sessions have been opened again.
fn wait_answered_anew(fleet: &Fleet) {
    for relay in fleet.relays.values() {
        relay.set_cut(true);
    }
    let is_answered = || fleet.chat("e1", &Chat::default()).is_answered();
    assert!(until(LONG, || !is_answered()), "the relays aren't cut");
    for relay in fleet.relays.values() {
        relay.set_cut(false);
    }
    assert!(until(LONG, is_answered), "no answer");
}

/// Guards against a process that is out of memory: frames of strangers were bounded by the limit of messages.
#[test]
fn frames_of_strangers_stay_within_memory() {
    let _alone = alone();
    let fleet = Fleet::serving(BINARY, &FleetPlan::default());
    for (id, addr, pid) in processes(&fleet) {
        let bounds = Bounds {
            pid,
            descriptors: MAX_DESCRIPTORS,
        };
        let crowd = Crowd::start(addr, frames(CLIENTS), false);
        crowd.wait_sent();
        wait_idle(pid);
        check_bounds(&id, bounds);
    }
    let answer = || fleet.chat("e1", &Chat::default()).is_answered();
    assert!(until(LONG, answer), "no answer");
}

fn check_stuck(limits: ProcessLimits) {
    let _alone = alone();
    let plan = FleetPlan {
        limits,
        ..FleetPlan::default()
    };
    let fleet = Fleet::serving(BINARY, &plan);
    let processes = processes(&fleet);
    let open = |(_, addr, _): &(String, SocketAddr, u32)| {
        Crowd::start(*addr, stuck_sessions(STUCK_CLIENTS), true)
    };
    let crowds: Vec<_> = processes.iter().map(open).collect();
    crowds.iter().for_each(Crowd::wait_sent);
    wait_answered_anew(&fleet);
    for (id, _, pid) in processes {
        let bounds = Bounds {
            pid,
            descriptors: limits.descriptors.unwrap_or(MAX_DESCRIPTORS),
        };
        check_bounds(&id, bounds);
    }
}

/// Guards against strangers that take all the places of sessions.
#[test]
fn stuck_strangers_take_no_places_of_sessions() {
    check_stuck(ProcessLimits {
        sessions: Some(SESSIONS),
        ..ProcessLimits::default()
    });
}

/// Guards against a process that has no descriptors left for its peers and its endpoint.
#[test]
fn stuck_strangers_leave_descriptors_for_peers() {
    check_stuck(ProcessLimits {
        descriptors: Some(DESCRIPTORS),
        ..ProcessLimits::default()
    });
}
