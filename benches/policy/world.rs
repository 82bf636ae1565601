//! Simulates routers and agents on a virtual clock, with their network, store and endpoints.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::router::{
    AnswerPart, CallerRequest, Keys, ListReply, Outcome, RouterParams, RouterState, StoreCall,
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

use crate::load::{
    arrivals, bundle_body, Arrival, FIRST_PIECE_MS, GROUPS, PIECE_INTERVAL_MS, SLOTS_PER_GROUP,
};
use crate::scenario::{Disturbance, Scenario};

const ROUTERS: usize = 3;
/// Delay of a message between two processes.
const ONE_WAY_MS: u64 = 1;
/// Time from the start of the arrivals until the scenario's disturbance begins.
const DISTURBANCE_AT_MS: u64 = 20_000;
/// Time at which a simulation stops: after the last deadline, as requests arrive until 64 s
/// and have 20 s at most.
const END_MS: u64 = 90_000;

/// Results of the requests, with the control traffic of a run.
#[derive(Default)]
pub struct Outcomes {
    /// Times in milliseconds from arrival to the first piece, by class.
    pub urgent_first: Vec<u64>,
    pub drafting_first: Vec<u64>,
    /// The same for the three small accounts, all classes.
    pub small_first: Vec<u64>,
    pub answered: u64,
    pub urgent_answered: u64,
    pub urgent_sent: u64,
    pub sent: u64,
    pub small_answered: u64,
    pub small_sent: u64,
    /// Requests refused before a run, with a time after which to retry.
    pub retry_hinted: u64,
    /// Requests that ended with the outcome unknown or failed.
    pub other_failures: u64,
    /// Parts of answers to a request that isn't open, answers with a wrong number of pieces,
    /// and refusals that report a request as not run although an endpoint had started it.
    pub wrong: u64,
    pub store_calls: u64,
    /// Encoded size of all messages but run orders and pieces.
    pub control_bytes: u64,
    /// Orders to an endpoint to cancel a run that is under way.
    pub paused: u64,
}

/// What happens at a scheduled time.
enum Action {
    /// A node handles an event.
    Node(usize, Event),
    /// A request arrives.
    Arrive(usize),
    /// The endpoint of a node emits the next piece of a run, or ends the run.
    Piece(usize, RunId, u64),
    Disturbance,
}

/// A run at an endpoint.
struct Run {
    pieces_left: u64,
    piece_ms: u64,
    cancelled: bool,
}

pub struct Simulation {
    now: u64,
    sequence: u64,
    /// Time, sequence number and key in `actions` of each scheduled action.
    schedule: BinaryHeap<Reverse<(u64, u64, usize)>>,
    actions: HashMap<usize, Action>,
    /// The routers, followed by the agents.
    nodes: Vec<Node>,
    dead: HashSet<usize>,
    runs: HashMap<(usize, RunId), Run>,
    arrivals: Vec<Arrival>,
    /// Open requests: index of the arrival, and number of pieces that the caller has received.
    open_requests: HashMap<RequestId, (usize, u64)>,
    /// Requests that an endpoint has begun to run.
    started: HashSet<RequestId>,
    store_down: bool,
    scenario: Scenario,
    pub outcomes: Outcomes,
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
        body: bundle_body(),
    };
    let head = Head {
        number: 1,
        by: "anna".into(),
        nonce: 1,
    };
    vec![
        entry(
            Keys::bundle(1),
            serde_json::to_string(&bundle).expect("a bundle can be serialized"),
        ),
        entry(
            Keys::domain("d"),
            serde_json::to_string(&record()).expect("a record can be serialized"),
        ),
        entry(
            Keys::HEAD.into(),
            serde_json::to_string(&head).expect("a head can be serialized"),
        ),
    ]
}

impl Simulation {
    pub fn new(scenario: Scenario, seed: u64) -> Self {
        let mut nodes = Vec::new();
        for r in 0..ROUTERS {
            let params = RouterParams {
                policy: scenario.policy.route,
                request_limit: 1_000_000,
                ..RouterParams::default()
            };
            let id = InstanceId::new(&format!("r{r}"));
            let state = RouterState::new(id, addr(), "h", seed * 10 + r as u64 + 1, params);
            nodes.push(Node::Router(Box::new(state)));
        }
        for i in 0..GROUPS as usize {
            let params = AgentParams {
                slots: SLOTS_PER_GROUP as u32,
                by_class: scenario.policy.by_class,
                ..AgentParams::default()
            };
            let mut state = AgentState::new(InstanceId::new(&agent_name(i)), 1, 0, params);
            state.grants_from = 0;
            nodes.push(Node::Agent(Box::new(state)));
        }
        let mut simulation = Self {
            now: 0,
            sequence: 0,
            schedule: BinaryHeap::new(),
            actions: HashMap::new(),
            nodes,
            dead: HashSet::new(),
            runs: HashMap::new(),
            arrivals: arrivals(&scenario, seed),
            open_requests: HashMap::new(),
            started: HashSet::new(),
            store_down: false,
            scenario,
            outcomes: Outcomes::default(),
        };
        simulation.begin();
        simulation
    }

    /// Delivers the first events and schedules ticks, arrivals and the disturbance. Requests
    /// arrive from 4 s on, which leaves the nodes time to open sessions and groups.
    fn begin(&mut self) {
        let instances: Vec<_> = (0..ROUTERS)
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
            self.handle(r, Event::Tick);
            self.handle(r, Event::Instances(ListReply::Instances(instances.clone())));
        }
        for n in 0..self.nodes.len() {
            self.schedule_at(1 + n as u64, Action::Node(n, Event::Tick));
        }
        let start_ms = 4_000;
        for i in 0..self.arrivals.len() {
            self.arrivals[i].at_ms += start_ms;
            self.schedule_at(self.arrivals[i].at_ms, Action::Arrive(i));
        }
        self.schedule_at(start_ms + DISTURBANCE_AT_MS, Action::Disturbance);
    }

    fn schedule_at(&mut self, time: u64, action: Action) {
        self.sequence += 1;
        let key = self.sequence as usize;
        self.schedule.push(Reverse((time, self.sequence, key)));
        self.actions.insert(key, action);
    }

    pub fn run(mut self) -> Outcomes {
        while let Some(Reverse((time, _, key))) = self.schedule.pop() {
            if time > END_MS {
                break;
            }
            self.now = time;
            match self.actions.remove(&key) {
                Some(Action::Node(n, Event::Tick)) => {
                    self.handle(n, Event::Tick);
                    self.schedule_at(time + Event::TICK_MS, Action::Node(n, Event::Tick));
                }
                Some(Action::Node(n, event)) => self.handle(n, event),
                Some(Action::Arrive(i)) => self.on_arrival(i),
                Some(Action::Piece(n, run, epoch)) => self.on_piece_due(n, run, epoch),
                Some(Action::Disturbance) => self.disturb(),
                None => {}
            }
        }
        self.outcomes
    }

    fn handle(&mut self, n: usize, event: Event) {
        if self.dead.contains(&n) {
            return;
        }
        let effects = step(&mut self.nodes[n], self.now, event);
        for effect in effects {
            self.execute(n, effect);
        }
    }

    fn peer(&self, n: usize) -> Peer {
        match &self.nodes[n] {
            Node::Router(s) => Peer {
                id: s.own_id.clone(),
                incarnation: s.incarnation,
                role: PeerRole::Router,
            },
            Node::Agent(s) => s.as_peer(),
            Node::Direct(_) => unreachable!("this simulation has no direct routers"),
        }
    }

    fn node_index(id: &InstanceId) -> usize {
        let number: usize = id.as_str()[1..]
            .parse()
            .expect("an instance id ends in its number");
        if id.as_str().starts_with('r') {
            number
        } else {
            ROUTERS + number
        }
    }

    fn execute(&mut self, n: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let is_payload = matches!(message, Message::Run(_) | Message::Piece { .. });
                if !is_payload {
                    self.outcomes.control_bytes += encode(&message).map_or(0, |b| b.len() as u64);
                }
                let from = self.peer(n);
                let event = Event::Message { from, message };
                self.schedule_at(
                    self.now + ONE_WAY_MS,
                    Action::Node(Self::node_index(&to), event),
                );
            }
            Effect::OpenSession { to, .. } => {
                let other = Self::node_index(&to);
                let (me, peer) = (self.peer(n), self.peer(other));
                self.schedule_at(
                    self.now + ONE_WAY_MS,
                    Action::Node(other, Event::SessionOpened(me)),
                );
                self.schedule_at(
                    self.now + ONE_WAY_MS,
                    Action::Node(n, Event::SessionOpened(peer)),
                );
            }
            Effect::Store { call, op } => {
                self.outcomes.store_calls += 1;
                let result = self.store_result(&op);
                self.schedule_at(
                    self.now + 2 * ONE_WAY_MS,
                    Action::Node(n, Event::Store { call, result }),
                );
            }
            Effect::Endpoint(call) => self.on_endpoint_call(n, call),
            Effect::Answer { request, part } => self.on_answer_part(request, part),
            _ => {}
        }
    }

    fn store_result(&self, op: &StoreCall) -> Result<StoreReply, StoreFault> {
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
            // No router becomes planner: the key of the planner lease belongs to another.
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

    fn on_endpoint_call(&mut self, n: usize, call: EndpointCall) {
        match call {
            EndpointCall::Load(order) => {
                let event = EndpointEvent::Loaded {
                    epoch: order.epoch,
                    ok: true,
                };
                self.schedule_at(
                    self.now + ONE_WAY_MS,
                    Action::Node(n, Event::Endpoint(event)),
                );
            }
            EndpointCall::Start(order) => self.start_run(n, &order),
            EndpointCall::Cancel { run, .. } => {
                if let Some(run) = self.runs.get_mut(&(n, run)) {
                    run.cancelled = true;
                    self.outcomes.paused += 1;
                }
            }
        }
    }

    fn start_run(&mut self, n: usize, order: &StartOrder) {
        self.started.insert(order.run.request);
        let pieces: u64 = order
            .body
            .parse()
            .expect("the body holds the number of pieces");
        let is_slow = self.scenario.disturbance == Disturbance::Slow && n == ROUTERS;
        let factor = if is_slow { 5 } else { 1 };
        let run = Run {
            pieces_left: pieces.saturating_sub(order.offset),
            piece_ms: PIECE_INTERVAL_MS * factor,
            cancelled: false,
        };
        self.runs.insert((n, order.run), run);
        self.schedule_at(
            self.now + FIRST_PIECE_MS * factor,
            Action::Piece(n, order.run, order.epoch),
        );
    }

    fn on_piece_due(&mut self, n: usize, id: RunId, epoch: u64) {
        let Some(run) = self.runs.get_mut(&(n, id)) else {
            return;
        };
        let result = if run.cancelled {
            Some(RunResult::Cancelled)
        } else if run.pieces_left == 0 {
            Some(RunResult::Complete(200))
        } else {
            run.pieces_left -= 1;
            None
        };
        let next = self.now + run.piece_ms;
        match result {
            Some(result) => {
                self.runs.remove(&(n, id));
                self.handle(n, Event::Endpoint(EndpointEvent::Ended { run: id, result }));
            }
            None => {
                let event = EndpointEvent::Piece {
                    run: id,
                    text: "x".into(),
                };
                self.handle(n, Event::Endpoint(event));
                self.schedule_at(next, Action::Piece(n, id, epoch));
            }
        }
    }

    fn on_arrival(&mut self, i: usize) {
        let arrival = &self.arrivals[i];
        let id = RequestId {
            node: 1,
            number: i as u64,
        };
        let router = arrival.router;
        self.outcomes.sent += 1;
        self.outcomes.urgent_sent += u64::from(arrival.urgent);
        self.outcomes.small_sent += u64::from(arrival.account != "large");
        let class = if arrival.urgent { "urgent" } else { "drafting" };
        let caller_request = CallerRequest {
            id,
            key_sha256: arrival.account.into(),
            model: Arc::from("m"),
            kind: ModelKind::Service,
            class: Some(Arc::from(class)),
            path: Arc::from("/"),
            body: Arc::from(arrival.pieces.to_string()),
            deadline_ms: None,
            idempotency_key: None,
        };
        self.open_requests.insert(id, (i, 0));
        self.handle(router, Event::Request(Box::new(caller_request)));
    }

    fn on_answer_part(&mut self, request: RequestId, part: AnswerPart) {
        let Some((i, received)) = self.open_requests.get_mut(&request) else {
            self.outcomes.wrong += 1;
            return;
        };
        let arrival = &self.arrivals[*i];
        match part {
            AnswerPart::Piece(_) => {
                *received += 1;
                if *received > 1 {
                    return;
                }
                let first_ms = self.now - arrival.at_ms;
                if arrival.urgent {
                    self.outcomes.urgent_first.push(first_ms);
                } else {
                    self.outcomes.drafting_first.push(first_ms);
                }
                if arrival.account != "large" {
                    self.outcomes.small_first.push(first_ms);
                }
            }
            AnswerPart::End { .. } => {
                self.outcomes.wrong += u64::from(*received != arrival.pieces);
                self.outcomes.answered += 1;
                self.outcomes.urgent_answered += u64::from(arrival.urgent);
                self.outcomes.small_answered += u64::from(arrival.account != "large");
                self.open_requests.remove(&request);
            }
            AnswerPart::Problem(problem) => {
                let not_run = problem.outcome == Outcome::NotRun;
                self.outcomes.retry_hinted += u64::from(not_run && problem.retry_ms.is_some());
                self.outcomes.other_failures += u64::from(!not_run);
                let has_started = self.started.contains(&request);
                self.outcomes.wrong += u64::from(not_run && has_started);
                self.open_requests.remove(&request);
            }
        }
    }

    /// Starts the scenario's disturbance.
    fn disturb(&mut self) {
        let affected = ROUTERS..ROUTERS + GROUPS as usize / 10;
        match self.scenario.disturbance {
            Disturbance::Loss => {
                for n in affected {
                    let session_down = Event::SessionClosed(self.peer(n).id);
                    self.dead.insert(n);
                    self.runs.retain(|(at, _), _| *at != n);
                    for r in 0..ROUTERS {
                        // A session ends after three ping intervals without any frame. The
                        // interval is taken as 2 s here; the default is 4 s.
                        self.schedule_at(self.now + 6_000, Action::Node(r, session_down.clone()));
                    }
                }
            }
            Disturbance::Drain => affected.for_each(|n| self.handle(n, Event::Stop)),
            Disturbance::Outage => self.store_down = true,
            _ => {}
        }
    }
}
