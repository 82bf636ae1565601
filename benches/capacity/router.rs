//! A router and a planner before 100, 500 and 2,100 groups.

use std::hint::black_box;
use std::sync::Arc;

use runrail::logic::router::{
    CallerRequest, Keys, ListReply, RouterKnobs, RouterState, StoreCall, StoreChange, StoreEntry,
    StoreReply,
};
use runrail::logic::{step, Effect, Event, Node, Peer, PeerRole};
use runrail::message::{AttemptEnd, ClassLoad, LeadReport, Message, Report, RunId};
use runrail::types::{Head, InstanceId, ModelKind, Phase, RequestId};

use crate::fixture::{addr, bundle, domains, instances, HALLS};
use crate::{micros, resident_kib};

/// Pieces of one answer.
const PIECES: u64 = 20;
const REQUESTS: u64 = 2_000;

pub fn run() {
    println!("| groups | sessions with leaders | router state KiB | tick us | request us | piece us | record change us | planner's look us |");
    println!("|---|---|---|---|---|---|---|---|");
    for groups in [100, 500, 2_100] {
        let before = resident_kib();
        let mut bench = Bench::new(groups);
        let state = resident_kib().saturating_sub(before);
        let tick = micros(200, || bench.tick());
        let plain = bench.requests(0);
        let pieced = bench.requests(PIECES);
        let change = bench.changes();
        let look = bench.looks();
        println!(
            "| {groups} | {} | {state} | {tick:.1} | {plain:.1} | {:.2} | {change:.0} | {look:.0} |",
            bench.leaders.len(),
            (pieced - plain) / PIECES as f64,
        );
    }
}

struct Bench {
    node: Node,
    now: u64,
    next: u64,
    groups: usize,
    /// Leaders in session with their reports.
    leaders: Vec<(Peer, Report)>,
}

impl Bench {
    fn new(groups: usize) -> Self {
        let knobs = RouterKnobs {
            // Plans are timed apart; proofs need no service here.
            plan_ms: 1 << 40,
            proof_ms: 1 << 40,
            prove_ms: 1 << 39,
            request_limit: 1 << 30,
            ..RouterKnobs::default()
        };
        let state = RouterState::new(InstanceId::new("hall00-e1"), addr(), "hall00", 7, knobs);
        let mut bench = Self {
            node: Node::Router(Box::new(state)),
            now: 1,
            next: 0,
            groups,
            leaders: Vec::new(),
        };
        let mut effects = bench.feed(Event::Tick);
        let records = domains(groups);
        let list = instances(&records, "hall00");
        effects.extend(bench.feed(Event::List(ListReply::Instances(list))));
        bench.hold_planner(&effects);
        bench.answer_reads(effects, &records);
        bench.now += 100;
        let effects = bench.feed(Event::Tick);
        for effect in effects {
            if let Effect::Dial { to, .. } = effect {
                bench.open(to, &records);
            }
        }
        bench
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, self.now, event)
    }

    fn hold_planner(&mut self, _: &[Effect]) {
        if let Node::Router(state) = &mut self.node {
            state.planner.lease = Some(1);
            state.planner.held_until = u64::MAX;
            state.planner.lease_at = u64::MAX;
            state.planner.was_held = true;
        }
    }

    fn answer_reads(&mut self, effects: Vec<Effect>, records: &[runrail::types::DomainRecord]) {
        let entry = |key: String, value: String| StoreEntry {
            key,
            value,
            revision: 1,
        };
        let whole = bundle(50, 100, (self.groups / HALLS) as u32);
        let head = Head {
            number: 1,
            by: "anna".into(),
            nonce: 1,
        };
        let head = entry(
            Keys::HEAD.into(),
            serde_json::to_string(&head).expect("a head"),
        );
        let mut fleet = vec![
            head.clone(),
            entry(
                Keys::bundle(1),
                serde_json::to_string(&whole).expect("a bundle"),
            ),
        ];
        for record in records {
            let text = serde_json::to_string(record).expect("a record");
            fleet.push(entry(Keys::domain(&record.domain), text));
        }
        let mut waiting = effects;
        while let Some(effect) = waiting.pop() {
            let Effect::Store { call, op } = effect else {
                continue;
            };
            let entries = match op {
                StoreCall::Read { key, .. } if key == Keys::FLEET => fleet.clone(),
                StoreCall::Read { key, .. } if key == Keys::HEAD => vec![head.clone()],
                _ => continue,
            };
            let result = Ok(StoreReply::Entries {
                revision: 1,
                entries,
            });
            waiting.extend(self.feed(Event::Store { call, result }));
        }
    }

    /// Opens the session with a leader and reports its group as open.
    fn open(&mut self, to: InstanceId, records: &[runrail::types::DomainRecord]) {
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
        self.feed(Event::Up(peer.clone()));
        self.feed(Event::Message {
            from: peer.clone(),
            message: Message::Report(Box::new(report.clone())),
        });
        self.leaders.push((peer, report));
    }

    fn tick(&mut self) {
        self.now += Event::TICK_MS;
        black_box(self.feed(Event::Tick));
    }

    /// Microseconds of one request with this many pieces.
    fn requests(&mut self, pieces: u64) -> f64 {
        micros(REQUESTS as u32, || self.request(pieces))
    }

    fn request(&mut self, pieces: u64) {
        self.next += 1;
        let id = RequestId {
            node: 7,
            number: self.next,
        };
        let effects = self.feed(Event::Request(Box::new(CallerRequest {
            id,
            key_sha256: format!("{:064}", 3),
            model: Arc::from("desk-70b"),
            kind: ModelKind::Engine,
            class: None,
            path: Arc::from("/v1/chat/completions"),
            body: Arc::from("x".repeat(600)),
            deadline_ms: None,
            once_key: None,
        })));
        let sent = effects.into_iter().find_map(|e| match e {
            Effect::Send {
                to,
                message: Message::Run(order),
            } => Some((to, order.run)),
            _ => None,
        });
        let (to, run): (InstanceId, RunId) = sent.expect("an order");
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
            black_box(self.feed(Event::Message {
                from: from.clone(),
                message,
            }));
        }
        let end = AttemptEnd::Complete {
            status: 200,
            pieces,
        };
        black_box(self.feed(Event::Message {
            from,
            message: Message::End { run, end },
        }));
    }

    /// Microseconds of one change to a domain's record.
    fn changes(&mut self) -> f64 {
        let record = domains(self.groups).remove(0);
        let value = serde_json::to_string(&record).expect("a record");
        let mut revision = 10;
        micros(50, || {
            revision += 1;
            let change = StoreChange {
                key: Keys::domain(&record.domain),
                value: Some(value.clone()),
                revision,
            };
            black_box(self.feed(Event::Watch(vec![change])));
        })
    }

    /// Microseconds of one look at the own hall that changes nothing.
    fn looks(&mut self) -> f64 {
        micros(20, || {
            if let Node::Router(state) = &mut self.node {
                state.planner.plan_at = 0;
            }
            black_box(self.feed(Event::Tick));
        })
    }
}
