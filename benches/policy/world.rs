//! Routers and leader agents on a virtual clock, with endpoints that take time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::router::{
    AnswerPart, CallerRequest, Keys, ListReply, Outcome, RouterKnobs, RouterState, StoreCall,
    StoreEntry, StoreFault, StoreReply,
};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, RunResult, StartOrder,
};
use runrail::message::{Message, RunId};
use runrail::types::{
    Bundle, DomainRecord, GroupId, GroupRecord, Head, Instance, InstanceId, InstanceState, Member,
    ModelKind, Phase, RequestId,
};
use runrail::wire::encode;

use crate::load::{arrivals, body, Arrival, GROUPS, PIECE, PREFILL, SLOTS};
use crate::scenario::{Scenario, Trouble};

const ROUTERS: usize = 3;
/// One way between two processes, in milliseconds.
const WAY: u64 = 1;
/// When trouble comes.
const TROUBLE_AT: u64 = 20_000;
/// When the last request must have ended.
const END: u64 = 90_000;

/// What became of the requests.
#[derive(Default)]
pub struct Outcomes {
    pub urgent_first: Vec<u64>,
    pub draft_first: Vec<u64>,
    /// Times to the first piece of the three small accounts, all classes.
    pub small_first: Vec<u64>,
    pub answered: u64,
    pub urgent_answered: u64,
    pub urgent_sent: u64,
    pub sent: u64,
    pub small_answered: u64,
    pub small_sent: u64,
    pub hinted: u64,
    pub unknown: u64,
    pub wrong: u64,
    pub store_calls: u64,
    pub control_bytes: u64,
    pub paused: u64,
}

enum Due {
    Node(usize, Event),
    Arrive(usize),
    Piece(usize, RunId, u64),
    Trouble,
}

struct Run {
    left: u64,
    piece_ms: u64,
    cancelled: bool,
}

pub struct World {
    now: u64,
    seq: u64,
    due: BinaryHeap<Reverse<(u64, u64, usize)>>,
    slots: HashMap<usize, Due>,
    nodes: Vec<Node>,
    dead: HashSet<usize>,
    runs: HashMap<(usize, RunId), Run>,
    arrivals: Vec<Arrival>,
    /// Pieces that each request's caller has, and its arrival.
    callers: HashMap<RequestId, (usize, u64)>,
    started: HashSet<RequestId>,
    store_down: bool,
    scenario: Scenario,
    pub out: Outcomes,
}

fn agent_name(i: usize) -> String {
    format!("g{i:02}")
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn record() -> DomainRecord {
    let groups = (0..GROUPS as usize).map(|i| GroupRecord {
        id: GroupId::new("d", i as u64 + 1),
        epoch: i as u64 + 1,
        members: vec![Member {
            instance: InstanceId::new(&agent_name(i)),
            addr: addr(),
        }],
        model: Arc::from("m"),
        version: Arc::from("1"),
        kind: ModelKind::Service,
        role: Default::default(),
        adapters: Vec::new(),
        load_ms: 1,
        phase: Phase::Serving,
    });
    DomainRecord {
        domain: Arc::from("d"),
        hall: Arc::from("h"),
        epoch: GROUPS,
        groups: groups.collect(),
    }
}

fn entries() -> Vec<StoreEntry> {
    let entry = |key: String, value: String| StoreEntry {
        key,
        value,
        revision: 1,
    };
    let bundle = Bundle {
        number: 1,
        author: "anna".into(),
        body: body(),
    };
    let head = Head {
        number: 1,
        by: "anna".into(),
        nonce: 1,
    };
    vec![
        entry(
            Keys::bundle(1),
            serde_json::to_string(&bundle).expect("a bundle"),
        ),
        entry(
            Keys::domain("d"),
            serde_json::to_string(&record()).expect("a record"),
        ),
        entry(
            Keys::HEAD.into(),
            serde_json::to_string(&head).expect("a head"),
        ),
    ]
}

impl World {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut nodes = Vec::new();
        for r in 0..ROUTERS {
            let knobs = RouterKnobs {
                policy: scenario.policy.route,
                request_limit: 1_000_000,
                ..RouterKnobs::default()
            };
            let id = InstanceId::new(&format!("r{r}"));
            let state = RouterState::new(id, addr(), "h", seed * 10 + r as u64 + 1, knobs);
            nodes.push(Node::Router(Box::new(state)));
        }
        for i in 0..GROUPS as usize {
            let knobs = AgentKnobs {
                slots: SLOTS as u32,
                by_class: scenario.policy.by_class,
                ..AgentKnobs::default()
            };
            let mut state = AgentState::new(InstanceId::new(&agent_name(i)), 1, 0, knobs);
            state.ready_at = 0;
            nodes.push(Node::Agent(Box::new(state)));
        }
        let mut world = Self {
            now: 0,
            seq: 0,
            due: BinaryHeap::new(),
            slots: HashMap::new(),
            nodes,
            dead: HashSet::new(),
            runs: HashMap::new(),
            arrivals: arrivals(&scenario, seed),
            callers: HashMap::new(),
            started: HashSet::new(),
            store_down: false,
            scenario,
            out: Outcomes::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        let list: Vec<_> = (0..ROUTERS)
            .map(|r| Instance {
                id: InstanceId::new(&format!("r{r}")),
                hall: Arc::from("h"),
                domain: Arc::from(""),
                kind: Arc::from(Instance::ROUTER),
                state: InstanceState::Live,
                addr: addr(),
            })
            .collect();
        for r in 0..ROUTERS {
            self.feed(r, Event::Tick);
            self.feed(r, Event::List(ListReply::Instances(list.clone())));
        }
        for n in 0..self.nodes.len() {
            self.at(1 + n as u64, Due::Node(n, Event::Tick));
        }
        let start = 4_000;
        for i in 0..self.arrivals.len() {
            self.arrivals[i].at += start;
            self.at(self.arrivals[i].at, Due::Arrive(i));
        }
        self.at(start + TROUBLE_AT, Due::Trouble);
    }

    fn at(&mut self, time: u64, due: Due) {
        self.seq += 1;
        let slot = self.seq as usize;
        self.due.push(Reverse((time, self.seq, slot)));
        self.slots.insert(slot, due);
    }

    pub fn run(mut self) -> Outcomes {
        while let Some(Reverse((time, _, slot))) = self.due.pop() {
            if time > END {
                break;
            }
            self.now = time;
            match self.slots.remove(&slot) {
                Some(Due::Node(n, Event::Tick)) => {
                    self.feed(n, Event::Tick);
                    self.at(time + Event::TICK_MS, Due::Node(n, Event::Tick));
                }
                Some(Due::Node(n, event)) => self.feed(n, event),
                Some(Due::Arrive(i)) => self.arrive(i),
                Some(Due::Piece(n, run, epoch)) => self.piece(n, run, epoch),
                Some(Due::Trouble) => self.trouble(),
                None => {}
            }
        }
        self.out
    }

    fn feed(&mut self, n: usize, event: Event) {
        if self.dead.contains(&n) {
            return;
        }
        let effects = step(&mut self.nodes[n], self.now, event);
        for effect in effects {
            self.carry_out(n, effect);
        }
    }

    fn peer(&self, n: usize) -> Peer {
        match &self.nodes[n] {
            Node::Router(s) => Peer {
                id: s.me.clone(),
                incarnation: s.incarnation,
                role: PeerRole::Router,
            },
            Node::Agent(s) => s.as_peer(),
            Node::Direct(_) => unreachable!("this world has no direct links"),
        }
    }

    fn index(id: &InstanceId) -> usize {
        let number: usize = id.as_str()[1..].parse().expect("a number");
        if id.as_str().starts_with('r') {
            number
        } else {
            ROUTERS + number
        }
    }

    fn carry_out(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let payload = matches!(message, Message::Run(_) | Message::Piece { .. });
                if !payload {
                    self.out.control_bytes += encode(&message).map_or(0, |b| b.len() as u64);
                }
                let from = self.peer(n);
                let event = Event::Message { from, message };
                self.at(self.now + WAY, Due::Node(Self::index(&to), event));
            }
            Effect::Dial { to, .. } => {
                let other = Self::index(&to);
                let (me, peer) = (self.peer(n), self.peer(other));
                self.at(self.now + WAY, Due::Node(other, Event::Up(me)));
                self.at(self.now + WAY, Due::Node(n, Event::Up(peer)));
            }
            Effect::Store { call, op } => {
                self.out.store_calls += 1;
                let result = self.store(&op);
                self.at(
                    self.now + 2 * WAY,
                    Due::Node(n, Event::Store { call, result }),
                );
            }
            Effect::Endpoint(call) => self.endpoint(n, call),
            Effect::Answer { request, part } => self.told(request, part),
            _ => {}
        }
    }

    fn store(&self, op: &StoreCall) -> Result<StoreReply, StoreFault> {
        if self.store_down {
            return Err(StoreFault);
        }
        match op {
            StoreCall::Read { key, .. } if key == Keys::FLEET => Ok(StoreReply::Entries {
                revision: 1,
                entries: entries(),
            }),
            StoreCall::Read { key, .. } if key == Keys::HEAD => Ok(StoreReply::Entries {
                revision: 1,
                entries: entries().split_off(2),
            }),
            StoreCall::Grant { .. } => Ok(StoreReply::Lease {
                lease: 1,
                ttl_s: 1_000,
            }),
            // Nobody plans here: the planner's key is held by another.
            _ => Ok(StoreReply::Entries {
                revision: 1,
                entries: vec![StoreEntry {
                    key: "held".into(),
                    value: String::new(),
                    revision: 1,
                }],
            }),
        }
    }

    fn endpoint(&mut self, n: usize, call: EndpointCall) {
        match call {
            EndpointCall::Load(order) => {
                let event = EndpointEvent::Loaded {
                    epoch: order.epoch,
                    ok: true,
                };
                self.at(self.now + WAY, Due::Node(n, Event::Endpoint(event)));
            }
            EndpointCall::Start(order) => self.start(n, &order),
            EndpointCall::Cancel { run, .. } => {
                if let Some(run) = self.runs.get_mut(&(n, run)) {
                    run.cancelled = true;
                    self.out.paused += 1;
                }
            }
        }
    }

    fn start(&mut self, n: usize, order: &StartOrder) {
        self.started.insert(order.run.request);
        let pieces: u64 = order.body.parse().expect("a number of pieces");
        let slow = self.scenario.trouble == Trouble::Slow && n == ROUTERS;
        let factor = if slow { 5 } else { 1 };
        let run = Run {
            left: pieces.saturating_sub(order.offset),
            piece_ms: PIECE * factor,
            cancelled: false,
        };
        self.runs.insert((n, order.run), run);
        self.at(
            self.now + PREFILL * factor,
            Due::Piece(n, order.run, order.epoch),
        );
    }

    fn piece(&mut self, n: usize, id: RunId, epoch: u64) {
        let Some(run) = self.runs.get_mut(&(n, id)) else {
            return;
        };
        let result = if run.cancelled {
            Some(RunResult::Cancelled)
        } else if run.left == 0 {
            Some(RunResult::Complete(200))
        } else {
            run.left -= 1;
            None
        };
        let next = self.now + run.piece_ms;
        match result {
            Some(result) => {
                self.runs.remove(&(n, id));
                self.feed(n, Event::Endpoint(EndpointEvent::Ended { run: id, result }));
            }
            None => {
                let event = EndpointEvent::Piece {
                    run: id,
                    text: "x".into(),
                };
                self.feed(n, Event::Endpoint(event));
                self.at(next, Due::Piece(n, id, epoch));
            }
        }
    }

    fn arrive(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let id = RequestId {
            node: 1,
            number: i as u64,
        };
        let router = arrival.router;
        self.out.sent += 1;
        self.out.urgent_sent += u64::from(arrival.urgent);
        self.out.small_sent += u64::from(arrival.account != "large");
        let class = if arrival.urgent { "urgent" } else { "drafting" };
        let call = CallerRequest {
            id,
            key_sha256: arrival.account.into(),
            model: Arc::from("m"),
            kind: ModelKind::Service,
            class: Some(Arc::from(class)),
            path: Arc::from("/"),
            body: Arc::from(arrival.pieces.to_string()),
            deadline_ms: None,
            once_key: None,
        };
        self.callers.insert(id, (i, 0));
        self.feed(router, Event::Request(Box::new(call)));
    }

    fn told(&mut self, request: RequestId, part: AnswerPart) {
        let Some((i, pieces)) = self.callers.get_mut(&request) else {
            self.out.wrong += 1;
            return;
        };
        let arrival = &self.arrivals[*i];
        match part {
            AnswerPart::Piece(_) => {
                *pieces += 1;
                if *pieces > 1 {
                    return;
                }
                let first = self.now - arrival.at;
                if arrival.urgent {
                    self.out.urgent_first.push(first);
                } else {
                    self.out.draft_first.push(first);
                }
                if arrival.account != "large" {
                    self.out.small_first.push(first);
                }
            }
            AnswerPart::End { .. } => {
                self.out.wrong += u64::from(*pieces != arrival.pieces);
                self.out.answered += 1;
                self.out.urgent_answered += u64::from(arrival.urgent);
                self.out.small_answered += u64::from(arrival.account != "large");
                self.callers.remove(&request);
            }
            AnswerPart::Problem(problem) => {
                let not_run = problem.outcome == Outcome::NotRun;
                self.out.hinted += u64::from(not_run && problem.retry_ms.is_some());
                self.out.unknown += u64::from(!not_run);
                let ran = self.started.contains(&request);
                self.out.wrong += u64::from(not_run && ran);
                self.callers.remove(&request);
            }
        }
    }

    fn trouble(&mut self) {
        let hit = ROUTERS..ROUTERS + GROUPS as usize / 10;
        match self.scenario.trouble {
            Trouble::Loss => {
                for n in hit {
                    let down = Event::Down(self.peer(n).id);
                    self.dead.insert(n);
                    self.runs.retain(|(at, _), _| *at != n);
                    for r in 0..ROUTERS {
                        // A router notices a silent session after three idle times.
                        self.at(self.now + 6_000, Due::Node(r, down.clone()));
                    }
                }
            }
            Trouble::Drain => hit.for_each(|n| self.feed(n, Event::Stop)),
            Trouble::Outage => self.store_down = true,
            _ => {}
        }
    }
}
