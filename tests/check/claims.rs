//! Model of requests that may not be repeated: two routers, two agents, one request.
//!
//! The same idempotency key arrives at both routers. Writes to the key-value service take
//! effect after their call has failed, or take effect and the answer is lost. Messages are
//! delayed without bound and reordered. Sessions break, an agent restarts with empty memory
//! while its endpoint goes on, and a router crashes and doesn't restart. Time stands still,
//! as the invariants must not depend on it.
//!
//! Invariants: the request runs at most once; no caller is told that it didn't run after it has
//! run (with one writer of claims: after the caller's own copy has run), and the copy of a caller
//! who was told so doesn't run later; agents are ordered to remember a key for at least twice the
//! duration of its claim's lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::router::{
    AnswerPart, CallId, CallerRequest, Keys, ListReply, Outcome, RouterParams, RouterState,
    StoreCall, StoreEntry, StoreFault, StoreReply,
};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, Rules, RunResult,
};
use runrail::message::{Message, RunId};
use runrail::types::{
    AccountSpec, Bundle, BundleBody, ClassSpec, DomainRecord, GroupId, GroupRecord, GroupRole,
    Head, Instance, InstanceId, InstanceState, Member, ModelKind, ModelSpec, Phase, RequestId,
};

use crate::explore::{
    explore, must_break, must_hold, random_walk, random_walks, without, Exploration, MAX_STATES,
};
use crate::hashed::{describe, Hashed, Label};

/// Nodes 0 and 1 are routers, 2 and 3 agents.
const NAMES: [&str; 4] = ["r1", "r2", "x", "y"];
const ROUTERS: [usize; 2] = [0, 1];
const AGENTS: [usize; 2] = [2, 3];

#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    /// Number of writes that take effect and whose answer is lost.
    lost_answers: u8,
    /// Number of writes that take effect after their call has failed.
    late_writes: u8,
    restarts: u8,
    session_losses: u8,
    router_crashes: u8,
    /// Whether one of the routers writes the claims of both.
    one_writer: bool,
    seeds: [u64; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: Peer,
    to: usize,
    message: Hashed<Message>,
}

/// A store call in progress; `call` is `None` if it has already failed for its router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingCall {
    router: usize,
    call: Option<CallId>,
    op: StoreCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// Constant once the routers have opened sessions to the agents.
    now: u64,
    nodes: Vec<Hashed<Node>>,
    dead: [bool; 2],
    request_sent: [bool; 2],
    claims: BTreeMap<String, (String, i64)>,
    revision: i64,
    pending: Vec<PendingCall>,
    envelopes: Vec<Envelope>,
    /// Sessions, by router and agent, that are broken and will be renewed.
    renewals: Vec<(usize, usize)>,
    /// Runs in progress at the endpoints, with the agent of the endpoint.
    active: Vec<(usize, RunId)>,
    /// Number of times that an endpoint has started a run.
    start_count: u8,
    /// Requests, one at each router, whose runs were started.
    started_requests: Vec<RequestId>,
    /// Requests whose caller was answered that they didn't run.
    not_run_answers: Vec<RequestId>,
    lost_answers: u8,
    late_writes: u8,
    restarts: u8,
    session_losses: u8,
    router_crashes: u8,
    one_writer: bool,
    /// Duration of the lease that claims are attached to, in milliseconds.
    claim_ms: u64,
    violation: Option<String>,
    last_step: Label,
}

fn index(id: &InstanceId) -> usize {
    NAMES
        .iter()
        .position(|n| *n == id.as_str())
        .expect("a known name")
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn body() -> BundleBody {
    BundleBody {
        title: "check".into(),
        models: vec![ModelSpec {
            name: Arc::from("svc"),
            version: Arc::from("1"),
            kind: ModelKind::Service,
            role: GroupRole::Mixed,
            adapters: Vec::new(),
            instances: 1,
            per_hall: 2,
            floor: 0,
            value: 1,
            load_ms: 1,
        }],
        classes: vec![ClassSpec {
            name: Arc::from("letter"),
            priority: 0,
            reserved: 0,
            preempt: false,
            repeat: false,
            deadline_ms: 1_000,
        }],
        accounts: vec![AccountSpec {
            name: Arc::from("desk"),
            key_sha256: Arc::from("k"),
            classes: vec![Arc::from("letter")],
            share: 1,
            limit: 10,
        }],
        ..BundleBody::default()
    }
}

fn record() -> DomainRecord {
    let group = |number: u64, member: usize| GroupRecord {
        id: GroupId::new("d", number),
        epoch: number,
        members: vec![Member {
            instance: InstanceId::new(NAMES[member]),
            addr: addr(),
        }],
        model: Arc::from("svc"),
        version: Arc::from("1"),
        kind: ModelKind::Service,
        role: GroupRole::Mixed,
        adapters: Vec::new(),
        load_ms: 1,
        phase: Phase::Serving,
    };
    DomainRecord {
        domain: Arc::from("d"),
        hall: Arc::from("h"),
        epoch: 2,
        groups: vec![group(1, 2), group(2, 3)],
    }
}

fn fleet_entries() -> Vec<StoreEntry> {
    let entry = |key: String, value: String| StoreEntry {
        key,
        value,
        revision: 1,
    };
    let text = |value: &dyn erased::Json| value.json();
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
        entry(Keys::bundle(1), text(&bundle)),
        entry(Keys::domain("d"), text(&record())),
        entry(Keys::HEAD.into(), text(&head)),
    ]
}

/// Object-safe JSON serialization.
mod erased {
    pub trait Json {
        fn json(&self) -> String;
    }

    impl<T: serde::Serialize> Json for T {
        fn json(&self) -> String {
            serde_json::to_string(self).expect("serializable")
        }
    }
}

fn router(i: usize, faults: &Faults) -> Node {
    const NEVER_MS: u64 = 1_000_000_000;
    let params = RouterParams {
        prove_ms: NEVER_MS,
        list_ms: NEVER_MS,
        planner_ms: 3 * NEVER_MS,
        plan_ms: NEVER_MS,
        claim_ms: 0,
        claim_writers: 1,
        park_ms: 0,
        hint_ms: 1,
        attempts: 1,
        recall_ms: 0,
        claim_tries: 4,
        ramp_ms: 0,
        ..RouterParams::default()
    };
    let id = InstanceId::new(NAMES[i]);
    let mut state = RouterState::new(id, addr(), "h", 10 + i as u64, params);
    state.rules = faults.rules;
    state.seed = faults.seeds[i];
    Node::Router(Box::new(state))
}

fn list_entry(i: usize) -> Instance {
    Instance {
        id: InstanceId::new(NAMES[i]),
        hall: Arc::from("h"),
        domain: Arc::from(""),
        kind: Arc::from(Instance::ROUTER),
        state: InstanceState::Live,
        addr: addr(),
    }
}

fn agent(i: usize, incarnation: u64, rules: Rules) -> Node {
    let params = AgentParams {
        slots: 1,
        ..AgentParams::default()
    };
    let mut state = AgentState::new(InstanceId::new(NAMES[i]), incarnation, 0, params);
    // The wait after a start is part of the model of groups; here time stands still.
    state.grants_from = 0;
    state.rules = rules;
    Node::Agent(Box::new(state))
}

impl World {
    fn new(faults: &Faults) -> Self {
        let nodes = [
            router(0, faults),
            router(1, faults),
            agent(2, 1, faults.rules),
            agent(3, 1, faults.rules),
        ];
        let mut world = Self {
            now: 0,
            nodes: nodes.into_iter().map(Hashed::new).collect(),
            dead: [false; 2],
            request_sent: [false; 2],
            claims: BTreeMap::new(),
            revision: 1,
            pending: Vec::new(),
            envelopes: Vec::new(),
            renewals: Vec::new(),
            active: Vec::new(),
            start_count: 0,
            started_requests: Vec::new(),
            not_run_answers: Vec::new(),
            lost_answers: faults.lost_answers,
            late_writes: faults.late_writes,
            restarts: faults.restarts,
            session_losses: faults.session_losses,
            router_crashes: faults.router_crashes,
            one_writer: faults.one_writer,
            claim_ms: 0,
            violation: None,
            last_step: Label("start".into()),
        };
        for r in ROUTERS {
            world.feed(r, Event::Tick);
            let list = if faults.one_writer {
                ROUTERS.map(list_entry).into()
            } else {
                Vec::new()
            };
            world.feed(r, Event::Instances(ListReply::Instances(list)));
        }
        if faults.one_writer {
            for r in ROUTERS {
                let other = world.peer(1 - r);
                world.feed(r, Event::SessionOpened(other));
            }
        }
        world.now = 100;
        for r in ROUTERS {
            world.feed(r, Event::Tick);
            for a in AGENTS {
                world.renew_session(r, a);
            }
        }
        for r in ROUTERS {
            let Node::Router(state) = &*world.nodes[r] else {
                panic!("a router");
            };
            assert!(state.agents.values().all(|a| a.report.is_some()) && state.agents.len() == 2);
        }
        assert!(
            world.envelopes.is_empty() && world.pending.is_empty(),
            "{world:?}"
        );
        world
    }

    fn peer(&self, i: usize) -> Peer {
        let (incarnation, role) = match &*self.nodes[i] {
            Node::Router(r) => (r.incarnation, PeerRole::Router),
            Node::Agent(a) => (a.incarnation, PeerRole::Agent),
            Node::Direct(_) => unreachable!("this model has no direct links"),
        };
        Peer {
            id: InstanceId::new(NAMES[i]),
            incarnation,
            role,
        }
    }

    fn is_alive(&self, i: usize) -> bool {
        i >= 2 || !self.dead[i]
    }

    /// Feeds one event to a node and applies its effects.
    fn feed(&mut self, i: usize, event: Event) {
        if !self.is_alive(i) {
            return;
        }
        let mut node = Node::clone(&self.nodes[i]);
        let effects = step(&mut node, self.now, event);
        if let Node::Router(state) = &mut node {
            // Numbers of ended calls are reused, so that equal states are recognized.
            state.next_call = state.calls.keys().max().map_or(1, |last| last + 1);
        }
        self.nodes[i] = Hashed::new(node);
        for effect in effects {
            self.apply_effect(i, effect);
        }
    }

    fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(i, index(&to), message),
            Effect::Store { call, op } => self.on_store_call(i, call, op),
            Effect::Answer { request, part } => self.on_answer(request, &part),
            Effect::Endpoint(EndpointCall::Load(order)) => {
                let event = EndpointEvent::Loaded {
                    epoch: order.epoch,
                    ok: true,
                };
                self.feed(i, Event::Endpoint(event));
            }
            Effect::Endpoint(EndpointCall::Start(order)) => {
                self.active.push((i, order.run));
                self.start_count += 1;
                self.started_requests.push(order.run.request);
                if self.start_count > 1 {
                    self.violation = Some("a request that may not be repeated ran twice".into());
                }
                if self.not_run_answers.contains(&order.run.request) {
                    self.violation =
                        Some("a request ran after its caller was told it didn't".into());
                }
            }
            _ => {}
        }
    }

    /// Delivers a control message at once, and queues a message of a request for delivery.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if let Message::Run(order) = &message {
            let keep = order.once.map_or(u64::MAX, |o| o.keep_ms);
            if keep < 2 * self.claim_ms {
                self.violation = Some("an agent may forget a key before its claim is gone".into());
            }
        }
        let peer = self.peer(from);
        match message {
            Message::Run(_)
            | Message::Query { .. }
            | Message::Recalled { .. }
            | Message::Piece { .. }
            | Message::End { .. }
            | Message::ClaimAsk(_)
            | Message::ClaimReply(_) => self.envelopes.push(Envelope {
                from: peer,
                to,
                message: Hashed::new(message),
            }),
            message => self.feed(
                to,
                Event::Message {
                    from: peer,
                    message,
                },
            ),
        }
    }

    fn on_store_call(&mut self, router: usize, call: CallId, op: StoreCall) {
        let result = match &op {
            StoreCall::Read { key, .. } if key == Keys::FLEET => Ok(StoreReply::Entries {
                revision: 1,
                entries: fleet_entries(),
            }),
            StoreCall::Read { key, .. } if key == Keys::HEAD => Ok(StoreReply::Entries {
                revision: 1,
                entries: fleet_entries().split_off(2),
            }),
            StoreCall::Grant { ttl_s } => {
                self.claim_ms = ttl_s * 1_000;
                Ok(StoreReply::Lease {
                    lease: 1,
                    ttl_s: 1_000,
                })
            }
            // The model has no planner.
            StoreCall::Read { .. } | StoreCall::Renew { .. } | StoreCall::Revoke { .. } => {
                Err(StoreFault)
            }
            StoreCall::Transaction { .. } => {
                self.pending.push(PendingCall {
                    router,
                    call: Some(call),
                    op,
                });
                return;
            }
        };
        // A failed call of the planner doesn't mean that the service is unavailable. The
        // reply to an unknown call makes the router take it as available again.
        let failed = result.is_err();
        self.feed(router, Event::Store { call, result });
        if failed {
            let call = u64::MAX;
            let result = Ok(StoreReply::Lease { lease: 1, ttl_s: 1 });
            self.feed(router, Event::Store { call, result });
        }
    }

    fn on_answer(&mut self, request: RequestId, part: &AnswerPart) {
        let AnswerPart::Problem(problem) = part else {
            return;
        };
        if problem.outcome != Outcome::NotRun {
            return;
        }
        // Where one router writes all claims, the result of a write takes time to reach the
        // other router, and the other router's copy of the request may run meanwhile. Then
        // only a run of this copy is a violation.
        let ran = if self.one_writer {
            self.started_requests.contains(&request)
        } else {
            self.start_count > 0
        };
        if ran {
            self.violation =
                Some("a caller was told `not run` although the request had run".into());
        }
        self.not_run_answers.push(request);
    }

    /// Closes the session between a router and an agent and opens it again.
    fn renew_session(&mut self, r: usize, a: usize) {
        let down = Event::SessionClosed(InstanceId::new(NAMES[a]));
        self.feed(r, down);
        let router = self.peer(r);
        self.feed(a, Event::SessionClosed(router.id.clone()));
        self.feed(a, Event::SessionOpened(router));
        let agent = self.peer(a);
        self.feed(r, Event::SessionOpened(agent));
        // The agent's first report must arrive after the router has opened its session.
        let router = self.peer(r);
        self.feed(a, Event::SessionOpened(router));
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut successors = Vec::new();
        self.send_requests(&mut successors);
        self.deliver(&mut successors);
        self.answer_calls(&mut successors);
        self.end_runs(&mut successors);
        self.inject_faults(faults, &mut successors);
        for world in &mut successors {
            // The order of messages and runs has no meaning; they are sorted so that equal
            // states are recognized.
            world
                .envelopes
                .sort_by_key(|l| (l.to, l.message.sort_key()));
            world.active.sort_unstable();
        }
        successors
    }

    fn add_successor(
        &self,
        what: String,
        successors: &mut Vec<World>,
        apply: impl FnOnce(&mut World),
    ) {
        let mut next = self.clone();
        next.last_step = Label(what);
        apply(&mut next);
        successors.push(next);
    }

    fn send_requests(&self, successors: &mut Vec<World>) {
        for r in ROUTERS
            .into_iter()
            .filter(|r| !self.request_sent[*r] && !self.dead[*r])
        {
            self.add_successor(
                format!("the request arrives at {}", NAMES[r]),
                successors,
                |w| {
                    w.request_sent[r] = true;
                    w.feed(
                        r,
                        Event::Request(Box::new(CallerRequest {
                            id: RequestId {
                                node: 10 + r as u64,
                                number: 1,
                            },
                            key_sha256: "k".into(),
                            model: Arc::from("svc"),
                            kind: ModelKind::Service,
                            class: None,
                            path: Arc::from("/renew"),
                            body: Arc::from("{}"),
                            deadline_ms: None,
                            idempotency_key: Some("key".into()),
                        })),
                    );
                },
            );
        }
    }

    fn deliver(&self, successors: &mut Vec<World>) {
        for n in 0..self.envelopes.len() {
            let envelope = &self.envelopes[n];
            let what = format!(
                "{} receives {}",
                NAMES[envelope.to],
                describe(&envelope.message)
            );
            self.add_successor(what, successors, |w| {
                let envelope = w.envelopes.remove(n);
                let message = Message::clone(&envelope.message);
                w.feed(
                    envelope.to,
                    Event::Message {
                        from: envelope.from,
                        message,
                    },
                );
            });
        }
    }

    fn answer_calls(&self, successors: &mut Vec<World>) {
        for n in 0..self.pending.len() {
            let pending = self.pending[n].clone();
            let name = NAMES[pending.router];
            let Some(call) = pending.call else {
                self.add_successor(
                    format!("a late write of {name} takes effect"),
                    successors,
                    |w| {
                        w.pending.remove(n);
                        w.apply_swap(&pending.op);
                    },
                );
                continue;
            };
            self.add_successor(format!("{name}'s swap is answered"), successors, |w| {
                w.pending.remove(n);
                let reply = w.apply_swap(&pending.op);
                w.feed(
                    pending.router,
                    Event::Store {
                        call,
                        result: Ok(reply),
                    },
                );
            });
            let lost = Event::Store {
                call,
                result: Err(StoreFault),
            };
            if self.lost_answers > 0 {
                let event = lost.clone();
                self.add_successor(
                    format!("{name}'s swap is done, its answer lost"),
                    successors,
                    |w| {
                        w.lost_answers -= 1;
                        w.pending.remove(n);
                        w.apply_swap(&pending.op);
                        w.feed(pending.router, event);
                    },
                );
            }
            if self.late_writes > 0 {
                self.add_successor(
                    format!("{name}'s swap fails and is still in progress"),
                    successors,
                    |w| {
                        w.late_writes -= 1;
                        w.pending[n].call = None;
                        w.feed(pending.router, lost);
                    },
                );
            }
        }
    }

    fn apply_swap(&mut self, op: &StoreCall) -> StoreReply {
        let StoreCall::Transaction {
            checks,
            puts,
            reads,
            ..
        } = op
        else {
            panic!("only swaps are pending");
        };
        let revision = |w: &World, key: &String| w.claims.get(key).map_or(0, |(_, r)| *r);
        let done = checks.iter().all(|c| revision(self, &c.key) == c.revision);
        if done {
            self.revision += 1;
            for put in puts {
                self.claims
                    .insert(put.key.clone(), (put.value.clone(), self.revision));
            }
        }
        let entries = reads.iter().filter(|_| !done).filter_map(|key| {
            let (value, revision) = self.claims.get(key)?;
            Some(StoreEntry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
        });
        StoreReply::Transaction {
            done,
            revision: self.revision,
            entries: entries.collect(),
        }
    }

    /// Ends runs at the endpoints; an agent that has restarted ignores the result.
    fn end_runs(&self, successors: &mut Vec<World>) {
        for n in 0..self.active.len() {
            let (a, run) = self.active[n];
            self.add_successor(
                format!("the endpoint of {} ends its run", NAMES[a]),
                successors,
                |w| {
                    w.active.remove(n);
                    let text = "done".to_string();
                    w.feed(a, Event::Endpoint(EndpointEvent::Piece { run, text }));
                    let result = RunResult::Complete(200);
                    w.feed(a, Event::Endpoint(EndpointEvent::Ended { run, result }));
                },
            );
        }
    }

    fn inject_faults(&self, faults: &Faults, successors: &mut Vec<World>) {
        for n in 0..self.renewals.len() {
            let (r, a) = self.renewals[n];
            self.add_successor(
                format!("{} renews its session with {}", NAMES[r], NAMES[a]),
                successors,
                |w| {
                    w.renewals.remove(n);
                    w.renew_session(r, a);
                },
            );
        }
        for a in AGENTS {
            if self.restarts > 0 {
                self.add_successor(
                    format!("{} restarts with empty memory", NAMES[a]),
                    successors,
                    |w| {
                        w.restarts -= 1;
                        w.nodes[a] = Hashed::new(agent(a, 2, faults.rules));
                        w.renewals.extend(ROUTERS.map(|r| (r, a)));
                    },
                );
            }
            for r in ROUTERS
                .into_iter()
                .filter(|r| self.session_losses > 0 && !self.dead[*r])
            {
                self.add_successor(
                    format!("{} and {} lose their session", NAMES[r], NAMES[a]),
                    successors,
                    |w| {
                        w.session_losses -= 1;
                        let between = |l: &Envelope| {
                            (l.to == r && index(&l.from.id) == a)
                                || (l.to == a && index(&l.from.id) == r)
                        };
                        w.envelopes.retain(|l| !between(l));
                        w.renewals.push((r, a));
                    },
                );
            }
        }
        for r in ROUTERS
            .into_iter()
            .filter(|r| self.router_crashes > 0 && !self.dead[*r])
        {
            self.add_successor(format!("{} crashes", NAMES[r]), successors, |w| {
                w.router_crashes -= 1;
                w.dead[r] = true;
                w.renewals.retain(|(n, _)| *n != r);
            });
        }
    }
}

const NO_FAULTS: Faults = Faults {
    rules: Rules::ALL,
    lost_answers: 0,
    late_writes: 0,
    restarts: 0,
    session_losses: 0,
    router_crashes: 0,
    one_writer: false,
    seeds: [1, 2],
};

fn check(faults: Faults) -> Exploration<World> {
    explore(
        MAX_STATES,
        World::new(&faults),
        |w| w.next(&faults),
        |w| w.violation.clone(),
    )
}

fn check_holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    for seeds in [[1, 2], [2, 1], [1, 1]] {
        let found = check(Faults { seeds, ..faults });
        let name = format!("claims, {name}, seeds {seeds:?}");
        must_hold(&name, &found, |w| &w.last_step.0);
    }
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_an_agents_restart() {
    check_holds(
        "one restart",
        Faults {
            restarts: 1,
            ..NO_FAULTS
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_a_broken_session() {
    check_holds(
        "one broken session",
        Faults {
            session_losses: 1,
            ..NO_FAULTS
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_a_routers_death_and_a_lost_answer() {
    check_holds(
        "a router's death and a lost answer",
        Faults {
            lost_answers: 1,
            router_crashes: 1,
            ..NO_FAULTS
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_late_writes() {
    check_holds(
        "a late write and a router's death",
        Faults {
            late_writes: 1,
            router_crashes: 1,
            ..NO_FAULTS
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_where_one_router_writes_all_claims() {
    let faults = Faults {
        one_writer: true,
        ..NO_FAULTS
    };
    check_holds("one writer", faults);
    let lost_answers = 1;
    check_holds(
        "one writer, a lost answer",
        Faults {
            lost_answers,
            ..faults
        },
    );
    let restarts = 1;
    check_holds("one writer, one restart", Faults { restarts, ..faults });
}

#[test]
fn each_rule_is_needed() {
    let table = [
        (
            "claim_first",
            Faults {
                rules: without(|r| r.claim_first = false),
                ..NO_FAULTS
            },
        ),
        (
            "incarnation_check",
            Faults {
                rules: without(|r| r.incarnation_check = false),
                restarts: 1,
                ..NO_FAULTS
            },
        ),
        (
            "query_bars",
            Faults {
                rules: without(|r| r.query_bars = false),
                router_crashes: 1,
                ..NO_FAULTS
            },
        ),
    ];
    for (rule, faults) in table {
        let seeds = [[1, 2], [2, 1], [1, 1]];
        let found = seeds
            .into_iter()
            .find_map(|seeds| check(Faults { seeds, ..faults }).violation);
        must_break("claims", rule, found);
    }
}

#[test]
fn long_random_runs_break_nothing() {
    let faults = Faults {
        lost_answers: 2,
        late_writes: 2,
        restarts: 1,
        session_losses: 3,
        router_crashes: 1,
        ..NO_FAULTS
    };
    random_walks(400, |seed| {
        let start = World::new(&Faults {
            seeds: [seed, seed ^ 1],
            ..faults
        });
        let fault = random_walk(
            start,
            |w| w.next(&faults),
            |w| w.violation.clone(),
            seed,
            120,
        )?;
        Some(fault.0)
    });
}
