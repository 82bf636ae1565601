//! Model of bundles being put in force: two routers, an agent, three bundles.
//!
//! Bundle 1 is in force everywhere. Router r1 rolls bundle 2 and r2 rolls bundle 3, at any
//! time. The connection of each router to the key-value service, and the one between the
//! routers, are cut and restored. Answers of the service are lost, and calls and messages
//! are delayed without bound.
//!
//! Invariants: a router never returns to an older bundle, and it accepts no requests under a
//! bundle from `PROOF_MS` after the service has accepted a newer one; an agent runs no
//! request of a router whose bundle is older than its own.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::router::{
    CallId, Keys, ListReply, OperatorCall, RouterParams, RouterState, StoreCall, StoreEntry,
    StoreFault, StoreReply,
};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, Rules,
};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{
    Approval, Brief, Bundle, BundleBody, GroupId, GroupRecord, GroupRole, Head, Instance,
    InstanceId, InstanceState, Member, Millis, ModelKind, Phase, RequestId,
};

use crate::explore::{
    explore, must_break, must_hold, random_walk, random_walks, without, Exploration,
};
use crate::hashed::{describe, Hashed, Label};

const NAMES: [&str; 2] = ["r1", "r2"];
/// Maximum age of a proof that a bundle is the newest.
const PROOF_MS: Millis = 2;
/// Maximum number of states that are expanded; limited by the memory that the state of two
/// routers takes.
const MAX_STATES: usize = 150_000;

#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    cuts: u8,
    lost_answers: u8,
    /// Whether r1 is cut off from the service from the start.
    starts_cut: bool,
    /// Time at which the model's clock stops.
    horizon: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingCall {
    router: usize,
    call: CallId,
    op: StoreCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    time: Millis,
    routers: [Hashed<RouterState>; 2],
    agent: Hashed<AgentState>,
    head: Head,
    revision: i64,
    /// Bundles that were put in force, with the time at which the service accepted them.
    accepted: Vec<(u64, Millis)>,
    rolled: [bool; 2],
    pending: Vec<PendingCall>,
    /// Message in transit from each router to the other one.
    messages: [Option<Hashed<Message>>; 2],
    /// Whether each router is cut off from the service.
    cut: [bool; 2],
    /// Whether the routers are cut off from each other.
    partitioned: bool,
    cuts: u8,
    lost_answers: u8,
    violation: Option<String>,
    last_step: Label,
}

fn addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn bundle(number: u64) -> Bundle {
    Bundle {
        number,
        author: "anna".into(),
        body: BundleBody::default(),
    }
}

fn instance(name: &str) -> Instance {
    Instance {
        id: InstanceId::new(name),
        hall: Arc::from("h"),
        domain: Arc::from(""),
        kind: Arc::from(Instance::ROUTER),
        state: InstanceState::Live,
        addr: addr(),
    }
}

fn router(i: usize, rules: Rules) -> RouterState {
    const NEVER_MS: u64 = 1_000_000_000;
    let params = RouterParams {
        proof_ms: PROOF_MS,
        prove_ms: 1,
        ask_ms: 1,
        list_ms: NEVER_MS,
        planner_ms: 3 * NEVER_MS,
        plan_ms: NEVER_MS,
        ..RouterParams::default()
    };
    let mut state = RouterState::new(
        InstanceId::new(NAMES[i]),
        addr(),
        "h",
        10 + i as u64,
        params,
    );
    state.rules = rules;
    state
}

fn agent(rules: Rules) -> AgentState {
    let params = AgentParams {
        slots: 1,
        ..AgentParams::default()
    };
    let mut state = AgentState::new(InstanceId::new("x"), 1, 0, params);
    state.grants_from = 0;
    state.rules = rules;
    state
}

fn group() -> GroupRecord {
    GroupRecord {
        id: GroupId::new("d", 1),
        epoch: 1,
        members: vec![Member {
            instance: InstanceId::new("x"),
            addr: addr(),
        }],
        model: Arc::from("svc"),
        version: Arc::from("1"),
        kind: ModelKind::Service,
        role: GroupRole::Mixed,
        adapters: Vec::new(),
        load_ms: 1,
        phase: Phase::Serving,
    }
}

impl World {
    fn new(faults: &Faults) -> Self {
        let mut world = Self {
            time: 0,
            routers: [0, 1].map(|i| Hashed::new(router(i, faults.rules))),
            agent: Hashed::new(agent(faults.rules)),
            head: Head {
                number: 1,
                by: "anna".into(),
                nonce: 1,
            },
            revision: 1,
            accepted: vec![(1, 0)],
            rolled: [false; 2],
            pending: Vec::new(),
            messages: [None, None],
            cut: [false; 2],
            partitioned: false,
            cuts: faults.cuts,
            lost_answers: faults.lost_answers,
            violation: None,
            last_step: Label("start".into()),
        };
        let assign = Message::Assign(Box::new(group()));
        world.send_to_agent(0, assign);
        for r in [0, 1] {
            world.feed(r, Event::Tick);
            let list = vec![instance("r1"), instance("r2")];
            world.feed(r, Event::Instances(ListReply::Instances(list)));
        }
        // Lets both routers read the service and exchange messages.
        for _ in 0..8 {
            let mut successors = Vec::new();
            world.deliver(&mut successors);
            world.answer_calls(&mut successors);
            match successors.into_iter().next() {
                Some(next) => world = next,
                None => break,
            }
        }
        world.cut[0] = faults.starts_cut;
        world
    }

    fn peer(&self, r: usize) -> Peer {
        Peer {
            id: InstanceId::new(NAMES[r]),
            incarnation: self.routers[r].incarnation,
            role: PeerRole::Router,
        }
    }

    fn feed(&mut self, r: usize, event: Event) {
        let before = self.routers[r].bundle_number();
        let mut node = Node::Router(Box::new(RouterState::clone(&self.routers[r])));
        let effects = step(&mut node, self.time, event);
        if let Node::Router(mut state) = node {
            // Numbers of ended calls are reused, so that equal states are recognized.
            state.next_call = state.calls.keys().max().map_or(1, |last| last + 1);
            if state.bundle_number() < before {
                self.violation = Some(format!(
                    "{} went back to bundle {}",
                    NAMES[r],
                    state.bundle_number()
                ));
            }
            self.routers[r] = Hashed::new(*state);
        }
        let now = self.routers[r].bundle_number();
        if now > before {
            // A router sends the agents' part of a new bundle to its agents.
            self.send_to_agent(
                r,
                Message::Brief(Brief {
                    number: now,
                    classes: Vec::new(),
                }),
            );
        }
        for effect in effects {
            match effect {
                Effect::Send { message, .. } if !self.partitioned => {
                    self.messages[r] = Some(Hashed::new(message));
                }
                Effect::Store { call, op } => self.on_store_call(r, call, op),
                _ => {}
            }
        }
    }

    fn on_store_call(&mut self, router: usize, call: CallId, op: StoreCall) {
        let head = |key: &String| key == Keys::HEAD || key == Keys::FLEET;
        let is_modelled = match &op {
            StoreCall::Read { key, .. } => head(key),
            StoreCall::Transaction { .. } => true,
            _ => false,
        };
        if is_modelled {
            self.pending.push(PendingCall { router, call, op });
        }
    }

    /// Delivers a message to the agent; returns whether the agent has started a run.
    fn send_to_agent(&mut self, r: usize, message: Message) -> bool {
        let from = self.peer(r);
        let mut node = Node::Agent(Box::new(AgentState::clone(&self.agent)));
        let mut effects = step(&mut node, 0, Event::Message { from, message });
        let mut started = false;
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Endpoint(EndpointCall::Load(order)) => {
                    let event = EndpointEvent::Loaded {
                        epoch: order.epoch,
                        ok: true,
                    };
                    effects.extend(step(&mut node, 0, Event::Endpoint(event)));
                }
                Effect::Endpoint(EndpointCall::Start(_)) => started = true,
                _ => {}
            }
        }
        if let Node::Agent(state) = node {
            self.agent = Hashed::new(*state);
        }
        started
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut successors = Vec::new();
        if self.time < faults.horizon {
            self.advance_time(&mut successors);
        }
        self.deliver(&mut successors);
        self.answer_calls(&mut successors);
        self.roll_bundles(&mut successors);
        self.inject_faults(&mut successors);
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

    /// One unit of time passes, and both routers get a tick. A paused router needs no event of
    /// its own: its calls and messages are delayed, and the invariants are checked in every
    /// state.
    fn advance_time(&self, successors: &mut Vec<World>) {
        self.add_successor("time passes".into(), successors, |w| {
            w.time += 1;
            for r in [0, 1] {
                w.feed(r, Event::Tick);
            }
        });
    }

    fn deliver(&self, successors: &mut Vec<World>) {
        for r in [0, 1] {
            let Some(message) = &self.messages[r] else {
                continue;
            };
            let what = format!("{} receives {}", NAMES[1 - r], describe(message));
            self.add_successor(what, successors, |w| {
                w.messages[r] = None;
                let from = w.peer(r);
                let message = Message::clone(message);
                w.feed(1 - r, Event::Message { from, message });
            });
        }
    }

    fn answer_calls(&self, successors: &mut Vec<World>) {
        for n in 0..self.pending.len() {
            let PendingCall { router, call, op } = self.pending[n].clone();
            let name = NAMES[router];
            let is_swap = matches!(op, StoreCall::Transaction { .. });
            if self.cut[router] {
                self.add_successor(format!("{name}'s call fails"), successors, |w| {
                    w.pending.remove(n);
                    w.feed(
                        router,
                        Event::Store {
                            call,
                            result: Err(StoreFault),
                        },
                    );
                });
                continue;
            }
            self.add_successor(
                format!(
                    "{name}'s {} is answered",
                    if is_swap { "swap" } else { "read" }
                ),
                successors,
                |w| {
                    w.pending.remove(n);
                    let reply = w.apply_call(&op);
                    w.feed(
                        router,
                        Event::Store {
                            call,
                            result: Ok(reply),
                        },
                    );
                },
            );
            if is_swap && self.lost_answers > 0 {
                self.add_successor(
                    format!("{name}'s swap is done, its answer lost"),
                    successors,
                    |w| {
                        w.lost_answers -= 1;
                        w.pending.remove(n);
                        w.apply_call(&op);
                        w.feed(
                            router,
                            Event::Store {
                                call,
                                result: Err(StoreFault),
                            },
                        );
                    },
                );
            }
        }
    }

    fn apply_call(&mut self, op: &StoreCall) -> StoreReply {
        let revision = self.revision;
        match op {
            StoreCall::Transaction { checks, puts, .. } => {
                let done = checks.iter().all(|c| c.revision == revision);
                if done {
                    self.revision += 1;
                    self.head = serde_json::from_str(&puts[0].value).expect("a head");
                    self.accepted.push((self.head.number, self.time));
                }
                StoreReply::Transaction {
                    done,
                    revision: self.revision,
                    entries: if done {
                        Vec::new()
                    } else {
                        vec![self.head_entry()]
                    },
                }
            }
            StoreCall::Read { key, .. } if key == Keys::FLEET => {
                let mut entries = vec![self.head_entry()];
                for n in 1..=3 {
                    let text = serde_json::to_string(&bundle(n)).expect("a bundle");
                    entries.push(StoreEntry {
                        key: Keys::bundle(n),
                        value: text,
                        revision: 1,
                    });
                    let approval = Approval {
                        number: n,
                        by: "ben".into(),
                    };
                    let text = serde_json::to_string(&approval).expect("an approval");
                    entries.push(StoreEntry {
                        key: Keys::approval(n),
                        value: text,
                        revision: 1,
                    });
                }
                StoreReply::Entries { revision, entries }
            }
            _ => StoreReply::Entries {
                revision,
                entries: vec![self.head_entry()],
            },
        }
    }

    fn head_entry(&self) -> StoreEntry {
        StoreEntry {
            key: Keys::HEAD.into(),
            value: serde_json::to_string(&self.head).expect("a head"),
            revision: self.revision,
        }
    }

    /// At each router an operator rolls another bundle, once.
    fn roll_bundles(&self, successors: &mut Vec<World>) {
        for r in [0, 1] {
            if self.rolled[r] {
                continue;
            }
            let number = 2 + r as u64;
            self.add_successor(
                format!("bundle {number} is rolled at {}", NAMES[r]),
                successors,
                |w| {
                    w.rolled[r] = true;
                    let call = OperatorCall::Roll {
                        by: "anna".into(),
                        number,
                    };
                    w.feed(r, Event::Operator { job: 1, call });
                },
            );
        }
    }

    fn inject_faults(&self, successors: &mut Vec<World>) {
        if self.cuts == 0 {
            return;
        }
        for r in [0, 1] {
            self.add_successor(
                format!("{} is cut off from the service, or reconnected", NAMES[r]),
                successors,
                |w| {
                    w.cuts -= 1;
                    w.cut[r] = !w.cut[r];
                },
            );
        }
        self.add_successor(
            "the routers are cut off from each other, or reconnected".into(),
            successors,
            |w| {
                w.cuts -= 1;
                w.partitioned = !w.partitioned;
                w.messages = [None, None];
            },
        );
    }

    fn violation(&self) -> Option<String> {
        if self.violation.is_some() {
            return self.violation.clone();
        }
        for r in [0, 1] {
            let router = &self.routers[r];
            let newer = self
                .accepted
                .iter()
                .find(|(n, _)| *n > router.bundle_number());
            let Some((number, at)) = newer else {
                continue;
            };
            if router.proven(self.time) && self.time >= at + PROOF_MS {
                return Some(format!(
                    "{} accepts requests under bundle {} at {}, but {number} was accepted at {at}",
                    NAMES[r],
                    router.bundle_number(),
                    self.time
                ));
            }
        }
        self.find_old_run()
    }

    /// Orders a run from each router whose bundle is older than the agent's; returns the
    /// violation if the agent starts it.
    fn find_old_run(&self) -> Option<String> {
        let own = self.agent.brief.number;
        [0, 1]
            .into_iter()
            .filter(|r| self.routers[*r].bundle_number() < own)
            .find_map(|r| {
                let bundle = self.routers[r].bundle_number();
                let order = RunOrder {
                    run: RunId {
                        request: RequestId { node: 1, number: 1 },
                        attempt: 1,
                    },
                    group: group().id,
                    epoch: 1,
                    incarnation: 1,
                    bundle,
                    class: Arc::from("c"),
                    account: Arc::from("x"),
                    share: 1,
                    left_ms: 1_000,
                    once: None,
                    path: Arc::from("/"),
                    body: Arc::from(""),
                    offset: 0,
                    prefix: String::new(),
                };
                let started = self.clone().send_to_agent(r, Message::Run(Box::new(order)));
                started.then(|| format!("an agent at bundle {own} ran work of bundle {bundle}"))
            })
    }
}

const CUTS: Faults = Faults {
    rules: Rules::ALL,
    cuts: 1,
    lost_answers: 1,
    starts_cut: false,
    horizon: 2,
};

fn check(faults: Faults) -> Exploration<World> {
    explore(
        MAX_STATES,
        World::new(&faults),
        |w| w.next(&faults),
        World::violation,
    )
}

fn check_holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    let name = format!("bundles, {name}, up to time {}", faults.horizon);
    must_hold(&name, &check(faults), |w| &w.last_step.0);
}

#[test]
fn a_bundle_once_accepted_is_in_force_everywhere_through_a_cut_and_a_lost_answer() {
    check_holds("a cut and a lost answer", CUTS);
}

#[test]
fn a_bundle_once_accepted_is_in_force_everywhere_through_a_later_cut() {
    check_holds(
        "a cut",
        Faults {
            lost_answers: 0,
            horizon: 3,
            ..CUTS
        },
    );
}

#[test]
fn a_bundle_once_accepted_is_in_force_everywhere_through_operators_races() {
    check_holds(
        "a lost answer",
        Faults {
            cuts: 0,
            horizon: 3,
            ..CUTS
        },
    );
}

#[test]
fn a_bundle_once_accepted_is_in_force_at_a_router_cut_off_from_the_service() {
    check_holds(
        "r1 cut off, then another cut",
        Faults {
            starts_cut: true,
            ..CUTS
        },
    );
}

#[test]
fn each_rule_is_needed() {
    let table = [
        (
            "head_proof",
            Faults {
                rules: without(|r| r.head_proof = false),
                ..CUTS
            },
        ),
        (
            "bundle_refusal",
            Faults {
                rules: without(|r| r.bundle_refusal = false),
                ..CUTS
            },
        ),
        (
            "settled_only",
            Faults {
                rules: without(|r| r.settled_only = false),
                cuts: 2,
                ..CUTS
            },
        ),
    ];
    for (rule, faults) in table {
        must_break("bundles", rule, check(faults).violation);
    }
}

#[test]
fn long_random_runs_break_nothing() {
    let faults = Faults {
        cuts: 8,
        lost_answers: 3,
        horizon: 40,
        ..CUTS
    };
    random_walks(300, |seed| {
        let start = World::new(&faults);
        let fault = random_walk(start, |w| w.next(&faults), World::violation, seed, 250)?;
        Some(fault.0)
    });
}
