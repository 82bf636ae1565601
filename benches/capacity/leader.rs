//! A leader of 4, 8, 16 and 32 members, and a member.

use std::hint::black_box;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::{step, Effect, EndpointEvent, Event, Node, Peer, PeerRole, RunResult};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{Brief, InstanceId, RequestId};

use crate::fixture::{bundle, group};
use crate::micros;
use crate::sizes::{bytes, lease_ask, lease_grant, load_report, report};

/// Rounds of lease requests a second, by default settings.
const ROUNDS_A_SECOND: f64 = 1.0;
/// Headers of a small message: Ethernet, IP, TCP with timestamps, WebSocket.
const HEADERS: usize = 14 + 20 + 32 + 6;

pub fn run() {
    println!("| members | round us | run us | piece us | lease B/s sent by the leader | lease B/s of a member |");
    println!("|---|---|---|---|---|---|");
    for members in [4, 8, 16, 32] {
        let mut bench = Bench::new(members);
        let round = micros(500, || bench.round());
        let run = micros(2_000, || bench.request(0));
        let piece = (micros(1_000, || bench.request(40)) - run) / 40.0;
        let ask = bytes(&lease_ask()) + HEADERS;
        let grant = bytes(&lease_grant()) + HEADERS;
        let leader = (members - 1) as f64 * ask as f64 * ROUNDS_A_SECOND;
        println!(
            "| {members} | {round:.1} | {run:.1} | {piece:.2} | {leader:.0} | {:.0} |",
            grant as f64 * ROUNDS_A_SECOND
        );
    }
    println!(
        "\nload report to one router: {} bytes with headers",
        bytes(&load_report()) + HEADERS
    );
    println!(
        "report to one router: {} bytes with headers",
        bytes(&report()) + HEADERS
    );
}

struct Bench {
    node: Node,
    now: u64,
    next: u64,
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
            AgentKnobs {
                slots: 64,
                ..AgentKnobs::default()
            },
        );
        state.ready_at = 0;
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
            next: 0,
            members,
        };
        for r in 0..35 {
            let router = Peer {
                id: InstanceId::new(&format!("r{r}")),
                incarnation: 1,
                role: PeerRole::Router,
            };
            bench.feed(Event::Up(router));
        }
        bench.router(Message::Assign(Box::new(record)));
        bench.feed(Event::Endpoint(EndpointEvent::Loaded {
            epoch: 7,
            ok: true,
        }));
        bench.round();
        bench
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, self.now, event)
    }

    fn router(&mut self, message: Message) -> Vec<Effect> {
        let from = Peer {
            id: InstanceId::new("r1"),
            incarnation: 1,
            role: PeerRole::Router,
        };
        self.feed(Event::Message { from, message })
    }

    /// One round: requests to all members, and their grants.
    fn round(&mut self) {
        self.now += 1_000;
        let effects = self.feed(Event::Tick);
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
            black_box(self.feed(Event::Message { from, message }));
        }
    }

    fn request(&mut self, pieces: u64) {
        self.next += 1;
        let run = RunId {
            request: RequestId {
                node: 1,
                number: self.next,
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
        black_box(self.router(Message::Run(Box::new(order))));
        for _ in 0..pieces {
            let text = "token".to_string();
            black_box(self.feed(Event::Endpoint(EndpointEvent::Piece { run, text })));
        }
        let result = RunResult::Complete(200);
        black_box(self.feed(Event::Endpoint(EndpointEvent::Ended { run, result })));
    }
}
