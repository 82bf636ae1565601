//! Measures an agent that leads a group of 4, 8, 16 or 32 members: CPU time, and the
//! traffic of leases and reports.

use std::hint::black_box;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::{step, Effect, EndpointEvent, Event, Node, Peer, PeerRole, RunResult};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{Brief, InstanceId, RequestId};

use crate::fixture::{bundle, group};
use crate::mean_us;
use crate::sizes::{encoded_bytes, lease_ask, lease_grant, load_report, report};

/// Rounds of lease requests with the default settings.
const ROUNDS_PER_S: f64 = 1.0;
/// Headers of a small message: Ethernet, IP, TCP with timestamps, WebSocket.
const HEADER_BYTES: usize = 14 + 20 + 32 + 6;

pub fn run() {
    println!("| members | round us | run us | piece us | lease B/s sent by the leader | lease B/s sent by a member |");
    println!("|---|---|---|---|---|---|");
    for members in [4, 8, 16, 32] {
        let mut bench = Bench::new(members);
        let round = mean_us(500, || bench.round());
        let run = mean_us(2_000, || bench.request(0));
        let piece = (mean_us(1_000, || bench.request(40)) - run) / 40.0;
        let request_bytes = encoded_bytes(&lease_ask()) + HEADER_BYTES;
        let grant_bytes = encoded_bytes(&lease_grant()) + HEADER_BYTES;
        let leader_rate = (members - 1) as f64 * request_bytes as f64 * ROUNDS_PER_S;
        println!(
            "| {members} | {round:.1} | {run:.1} | {piece:.2} | {leader_rate:.0} | {:.0} |",
            grant_bytes as f64 * ROUNDS_PER_S
        );
    }
    println!(
        "\nload report to one router: {} bytes with headers",
        encoded_bytes(&load_report()) + HEADER_BYTES
    );
    println!(
        "report to one router: {} bytes with headers",
        encoded_bytes(&report()) + HEADER_BYTES
    );
}

struct Bench {
    node: Node,
    now: u64,
    last_number: u64,
    members: Vec<Peer>,
}

impl Bench {
    fn new(size: usize) -> Self {
        let record = group("hall01-rack001", 7, size);
        let me = record.leader().instance.clone();
        let mut state = AgentState::new(
            me,
            1,
            0,
            AgentParams {
                slots: 64,
                ..AgentParams::default()
            },
        );
        state.grants_from = 0;
        state.brief = Brief::of(1, &bundle(1, 1, 1).body);
        let peer = |id: &InstanceId| Peer {
            id: id.clone(),
            incarnation: 1,
            role: PeerRole::Agent,
        };
        let members = record
            .members
            .iter()
            .skip(1)
            .map(|m| peer(&m.instance))
            .collect();
        let mut bench = Self {
            node: Node::Agent(Box::new(state)),
            now: 1,
            last_number: 0,
            members,
        };
        for r in 0..35 {
            let router = Peer {
                id: InstanceId::new(&format!("r{r}")),
                incarnation: 1,
                role: PeerRole::Router,
            };
            bench.handle(Event::SessionOpened(router));
        }
        bench.on_router_message(Message::Assign(Box::new(record)));
        bench.handle(Event::Endpoint(EndpointEvent::Loaded {
            epoch: 7,
            ok: true,
        }));
        bench.round();
        bench
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, self.now, event)
    }

    /// Delivers a message from a router.
    fn on_router_message(&mut self, message: Message) -> Vec<Effect> {
        let from = Peer {
            id: InstanceId::new("r1"),
            incarnation: 1,
            role: PeerRole::Router,
        };
        self.handle(Event::Message { from, message })
    }

    /// Runs one round of lease requests to all members, and delivers their grants.
    fn round(&mut self) {
        self.now += 1_000;
        let effects = self.handle(Event::Tick);
        let round = effects.iter().find_map(|e| match e {
            Effect::Send {
                message: Message::LeaseAsk(ask),
                ..
            } => Some(ask.round),
            _ => None,
        });
        for from in self.members.clone() {
            let message = Message::LeaseGrant {
                holder: 1,
                epoch: 7,
                round: round.unwrap_or(1),
                ready: true,
                failed: false,
                leaving: false,
                bundle: 1,
            };
            black_box(self.handle(Event::Message { from, message }));
        }
    }

    /// Runs one request whose answer has this many pieces.
    fn request(&mut self, pieces: u64) {
        self.last_number += 1;
        let run = RunId {
            request: RequestId {
                node: 1,
                number: self.last_number,
            },
            attempt: 1,
        };
        let order = RunOrder {
            run,
            group: runrail::types::GroupId::new("hall01-rack001", 7),
            epoch: 7,
            incarnation: 1,
            bundle: 1,
            class: Arc::from("urgent"),
            account: Arc::from("account-1"),
            share: 1,
            left_ms: 60_000,
            once: None,
            path: Arc::from("/"),
            body: Arc::from("{}"),
            offset: 0,
            prefix: String::new(),
        };
        black_box(self.on_router_message(Message::Run(Box::new(order))));
        for _ in 0..pieces {
            let text = "token".to_string();
            black_box(self.handle(Event::Endpoint(EndpointEvent::Piece { run, text })));
        }
        let result = RunResult::Complete(200);
        black_box(self.handle(Event::Endpoint(EndpointEvent::Ended { run, result })));
    }
}
