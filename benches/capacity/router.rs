//! Measures a router and its planner in fleets of 100, 500 and 2,100 groups.

use std::hint::black_box;
use std::sync::Arc;

use runrail::logic::router::{
    CallerRequest, Keys, ListReply, RouterParams, RouterState, StoreCall, StoreChange, StoreEntry,
    StoreReply,
};
use runrail::logic::{step, Effect, Event, Node, Peer, PeerRole};
use runrail::message::{AttemptEnd, ClassLoad, LeadReport, Message, Report, RunId};
use runrail::types::{Head, InstanceId, ModelKind, Phase, RequestId};

use crate::fixture::{addr, bundle, domains, instances, HALLS};
use crate::{mean_us, resident_kib};

/// Pieces of one answer.
const PIECES: u64 = 20;
const REQUESTS: u64 = 2_000;

pub fn run() {
    println!("| groups | sessions with leaders | router state KiB | tick us | request us | piece us | record change us | planning pass us |");
    println!("|---|---|---|---|---|---|---|---|");
    for groups in [100, 500, 2_100] {
        let before = resident_kib();
        let mut bench = Bench::new(groups);
        let state_kib = resident_kib().saturating_sub(before);
        let tick = mean_us(200, || bench.tick());
        let without_pieces = bench.time_requests(0);
        let with_pieces = bench.time_requests(PIECES);
        let change = bench.time_changes();
        let pass = bench.time_passes();
        println!(
            "| {groups} | {} | {state_kib} | {tick:.1} | {without_pieces:.1} | {:.2} | {change:.0} | {pass:.0} |",
            bench.leaders.len(),
            (with_pieces - without_pieces) / PIECES as f64,
        );
    }
}

struct Bench {
    node: Node,
    now: u64,
    last_number: u64,
    groups: usize,
    /// Leaders that the router has a session with, and their reports.
    leaders: Vec<(Peer, Report)>,
}

impl Bench {
    fn new(groups: usize) -> Self {
        let params = RouterParams {
            // Planning passes are timed separately, and the proof that the bundle in force is
            // the newest neither expires nor is renewed.
            plan_ms: 1 << 40,
            proof_ms: 1 << 40,
            prove_ms: 1 << 39,
            request_limit: 1 << 30,
            ..RouterParams::default()
        };
        let state = RouterState::new(InstanceId::new("hall00-e1"), addr(), "hall00", 7, params);
        let mut bench = Self {
            node: Node::Router(Box::new(state)),
            now: 1,
            last_number: 0,
            groups,
            leaders: Vec::new(),
        };
        let mut effects = bench.handle(Event::Tick);
        let records = domains(groups);
        let hall_instances = instances(&records, "hall00");
        effects.extend(bench.handle(Event::Instances(ListReply::Instances(hall_instances))));
        bench.hold_planner_lease(&effects);
        bench.answer_reads(effects, &records);
        bench.now += 100;
        let effects = bench.handle(Event::Tick);
        for effect in effects {
            if let Effect::OpenSession { to, .. } = effect {
                bench.open_session(to, &records);
            }
        }
        bench
    }

    fn handle(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, self.now, event)
    }

    /// Lets the router hold the planner lease for the whole run.
    fn hold_planner_lease(&mut self, _: &[Effect]) {
        if let Node::Router(state) = &mut self.node {
            state.planner.lease = Some(1);
            state.planner.held_until = u64::MAX;
            state.planner.lease_due = u64::MAX;
            state.planner.was_held = true;
        }
    }

    /// Answers the reads of the fleet and of the bundle head among `effects`, and those that
    /// the answers lead to.
    fn answer_reads(&mut self, effects: Vec<Effect>, records: &[runrail::types::DomainRecord]) {
        let entry = |key: String, value: String| StoreEntry {
            key,
            value,
            revision: 1,
        };
        let bundle = bundle(50, 100, (self.groups / HALLS) as u32);
        let head = Head {
            number: 1,
            by: "anna".into(),
            nonce: 1,
        };
        let head = entry(
            Keys::HEAD.into(),
            serde_json::to_string(&head).expect("a head can be serialized"),
        );
        let mut fleet_entries = vec![
            head.clone(),
            entry(
                Keys::bundle(1),
                serde_json::to_string(&bundle).expect("a bundle can be serialized"),
            ),
        ];
        for record in records {
            let text = serde_json::to_string(record).expect("a record can be serialized");
            fleet_entries.push(entry(Keys::domain(&record.domain), text));
        }
        let mut pending = effects;
        while let Some(effect) = pending.pop() {
            let Effect::Store { call, op } = effect else {
                continue;
            };
            let entries = match op {
                StoreCall::Read { key, .. } if key == Keys::FLEET => fleet_entries.clone(),
                StoreCall::Read { key, .. } if key == Keys::HEAD => vec![head.clone()],
                _ => continue,
            };
            let result = Ok(StoreReply::Entries {
                revision: 1,
                entries,
            });
            pending.extend(self.handle(Event::Store { call, result }));
        }
    }

    /// Opens the session with a leader and reports its group as open.
    fn open_session(&mut self, to: InstanceId, records: &[runrail::types::DomainRecord]) {
        let mut groups = records.iter().flat_map(|r| &r.groups);
        let Some(group) = groups.find(|g| g.leader().instance == to) else {
            return;
        };
        let peer = Peer {
            id: to,
            incarnation: 5,
            role: PeerRole::Agent,
        };
        let report = Report {
            bundle: 1,
            grant: Some((group.id.clone(), group.epoch)),
            lead: Some(LeadReport {
                group: group.id.clone(),
                epoch: group.epoch,
                open: true,
                phase: Phase::Serving,
                missing: Vec::new(),
                leaving: Vec::new(),
                failed: Vec::new(),
                ready: true,
                slots: 64,
                running: 10,
                loads: vec![ClassLoad {
                    priority: 0,
                    queued: 0,
                    wait_ms: 0,
                    mean_ms: 1_000,
                }],
            }),
            leaving: false,
        };
        self.handle(Event::SessionOpened(peer.clone()));
        self.handle(Event::Message {
            from: peer.clone(),
            message: Message::Report(Box::new(report.clone())),
        });
        self.leaders.push((peer, report));
    }

    fn tick(&mut self) {
        self.now += Event::TICK_MS;
        black_box(self.handle(Event::Tick));
    }

    /// Returns the mean time in microseconds of a request whose answer has this many pieces.
    fn time_requests(&mut self, pieces: u64) -> f64 {
        mean_us(REQUESTS as u32, || self.request(pieces))
    }

    fn request(&mut self, pieces: u64) {
        self.last_number += 1;
        let id = RequestId {
            node: 7,
            number: self.last_number,
        };
        let effects = self.handle(Event::Request(Box::new(CallerRequest {
            id,
            key_sha256: format!("{:064}", 3),
            model: Arc::from("desk-70b"),
            kind: ModelKind::Engine,
            class: None,
            path: Arc::from("/v1/chat/completions"),
            body: Arc::from("x".repeat(600)),
            deadline_ms: None,
            idempotency_key: None,
        })));
        let sent = effects.into_iter().find_map(|e| match e {
            Effect::Send {
                to,
                message: Message::Run(order),
            } => Some((to, order.run)),
            _ => None,
        });
        let (to, run): (InstanceId, RunId) = sent.expect("the router sends a run order");
        let from = Peer {
            id: to,
            incarnation: 5,
            role: PeerRole::Agent,
        };
        for offset in 0..pieces {
            let message = Message::Piece {
                run,
                offset,
                text: "token".into(),
            };
            black_box(self.handle(Event::Message {
                from: from.clone(),
                message,
            }));
        }
        let end = AttemptEnd::Complete {
            status: 200,
            pieces,
        };
        black_box(self.handle(Event::Message {
            from,
            message: Message::End { run, end },
        }));
    }

    /// Returns the mean time in microseconds of a change to a domain's record.
    fn time_changes(&mut self) -> f64 {
        let record = domains(self.groups).remove(0);
        let value = serde_json::to_string(&record).expect("a record can be serialized");
        let mut revision = 10;
        mean_us(50, || {
            revision += 1;
            let change = StoreChange {
                key: Keys::domain(&record.domain),
                value: Some(value.clone()),
                revision,
            };
            black_box(self.handle(Event::Watch(vec![change])));
        })
    }

    /// Returns the mean time in microseconds of a planning pass over the router's own data hall
    /// that changes nothing.
    fn time_passes(&mut self) -> f64 {
        mean_us(20, || {
            if let Node::Router(state) = &mut self.node {
                state.planner.next_pass = 0;
            }
            black_box(self.handle(Event::Tick));
        })
    }
}
