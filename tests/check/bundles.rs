//! Bundles: two routers, an agent, three bundles, cuts, lost answers.
//!
//! Bundle 1 is in force everywhere. Router r1 rolls bundle 2 and r2 rolls
//! bundle 3, at any moment. Each router's way to the service is cut and healed,
//! the way between them is cut, answers are lost, calls and messages are
//! delayed without bound.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::router::{
    CallId, Keys, ListReply, OperatorCall, RouterKnobs, RouterState, StoreCall, StoreEntry,
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

use crate::explore::{explore, must_break, must_hold, off, walk, walks, Found};
use crate::hashed::{kind, Hashed, Label};

const NAMES: [&str; 2] = ["r1", "r2"];
/// Longest age of a proof.
const PROOF: Millis = 2;
/// States explored at most; whole routers take much memory.
const LIMIT: usize = 150_000;

#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    cuts: u8,
    lost_answers: u8,
    /// Whether r1 can't reach the service from the start.
    cut_first: bool,
    horizon: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flying {
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
    /// When each head was accepted.
    accepted: Vec<(u64, Millis)>,
    rolled: [bool; 2],
    flying: Vec<Flying>,
    /// The letter from each router to the other.
    letters: [Option<Hashed<Message>>; 2],
    /// Routers that can't reach the service.
    cut: [bool; 2],
    apart: bool,
    cuts: u8,
    lost_answers: u8,
    broken: Option<String>,
    last: Label,
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
    const NEVER: u64 = 1_000_000_000;
    let knobs = RouterKnobs {
        proof_ms: PROOF,
        prove_ms: 1,
        ask_ms: 1,
        list_ms: NEVER,
        planner_ms: 3 * NEVER,
        plan_ms: NEVER,
        ..RouterKnobs::default()
    };
    let mut state = RouterState::new(InstanceId::new(NAMES[i]), addr(), "h", 10 + i as u64, knobs);
    state.rules = rules;
    state
}

fn agent(rules: Rules) -> AgentState {
    let knobs = AgentKnobs {
        slots: 1,
        ..AgentKnobs::default()
    };
    let mut state = AgentState::new(InstanceId::new("x"), 1, 0, knobs);
    state.ready_at = 0;
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
            flying: Vec::new(),
            letters: [None, None],
            cut: [false; 2],
            apart: false,
            cuts: faults.cuts,
            lost_answers: faults.lost_answers,
            broken: None,
            last: Label("start".into()),
        };
        let assign = Message::Assign(Box::new(group()));
        world.tell_agent(0, assign);
        for r in [0, 1] {
            world.feed(r, Event::Tick);
            let list = vec![instance("r1"), instance("r2")];
            world.feed(r, Event::List(ListReply::Instances(list)));
        }
        // Both have read the service and have met each other.
        for _ in 0..8 {
            let mut all = Vec::new();
            world.deliver(&mut all);
            world.store(&mut all);
            match all.into_iter().next() {
                Some(next) => world = next,
                None => break,
            }
        }
        world.cut[0] = faults.cut_first;
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
        let before = self.routers[r].number();
        let mut node = Node::Router(Box::new(RouterState::clone(&self.routers[r])));
        let effects = step(&mut node, self.time, event);
        if let Node::Router(mut state) = node {
            // Numbers of calls that have ended are used again, so that states recur.
            state.next_call = state.calls.keys().max().map_or(1, |last| last + 1);
            if state.number() < before {
                self.broken = Some(format!(
                    "{} went back to bundle {}",
                    NAMES[r],
                    state.number()
                ));
            }
            self.routers[r] = Hashed::new(*state);
        }
        let now = self.routers[r].number();
        if now > before {
            // A router that puts a bundle in force tells the agents it reaches.
            self.tell_agent(
                r,
                Message::Brief(Brief {
                    number: now,
                    classes: Vec::new(),
                }),
            );
        }
        for effect in effects {
            match effect {
                Effect::Send { message, .. } if !self.apart => {
                    self.letters[r] = Some(Hashed::new(message));
                }
                Effect::Store { call, op } => self.call(r, call, op),
                _ => {}
            }
        }
    }

    fn call(&mut self, router: usize, call: CallId, op: StoreCall) {
        let head = |key: &String| key == Keys::HEAD || key == Keys::FLEET;
        let matters = match &op {
            StoreCall::Read { key, .. } => head(key),
            StoreCall::Swap { .. } => true,
            _ => false,
        };
        if matters {
            self.flying.push(Flying { router, call, op });
        }
    }

    fn tell_agent(&mut self, r: usize, message: Message) -> bool {
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
        let mut all = Vec::new();
        if self.time < faults.horizon {
            self.pass_time(&mut all);
        }
        self.deliver(&mut all);
        self.store(&mut all);
        self.roll(&mut all);
        self.disturb(&mut all);
        all
    }

    fn change(&self, what: String, all: &mut Vec<World>, apply: impl FnOnce(&mut World)) {
        let mut next = self.clone();
        next.last = Label(what);
        apply(&mut next);
        all.push(next);
    }

    /// A paused router is one whose calls and letters wait; what it would do
    /// at this moment is judged without polling it.
    fn pass_time(&self, all: &mut Vec<World>) {
        self.change("time passes".into(), all, |w| {
            w.time += 1;
            for r in [0, 1] {
                w.feed(r, Event::Tick);
            }
        });
    }

    fn deliver(&self, all: &mut Vec<World>) {
        for r in [0, 1] {
            let Some(message) = &self.letters[r] else {
                continue;
            };
            let what = format!("{} hears {}", NAMES[1 - r], kind(message));
            self.change(what, all, |w| {
                w.letters[r] = None;
                let from = w.peer(r);
                let message = Message::clone(message);
                w.feed(1 - r, Event::Message { from, message });
            });
        }
    }

    fn store(&self, all: &mut Vec<World>) {
        for n in 0..self.flying.len() {
            let Flying { router, call, op } = self.flying[n].clone();
            let name = NAMES[router];
            let swap = matches!(op, StoreCall::Swap { .. });
            if self.cut[router] {
                self.change(format!("{name}'s call fails"), all, |w| {
                    w.flying.remove(n);
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
            self.change(
                format!(
                    "{name}'s {} is answered",
                    if swap { "swap" } else { "read" }
                ),
                all,
                |w| {
                    w.flying.remove(n);
                    let reply = w.carry_out(&op);
                    w.feed(
                        router,
                        Event::Store {
                            call,
                            result: Ok(reply),
                        },
                    );
                },
            );
            if swap && self.lost_answers > 0 {
                self.change(
                    format!("{name}'s swap is done, its answer lost"),
                    all,
                    |w| {
                        w.lost_answers -= 1;
                        w.flying.remove(n);
                        w.carry_out(&op);
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

    fn carry_out(&mut self, op: &StoreCall) -> StoreReply {
        let revision = self.revision;
        match op {
            StoreCall::Swap { checks, puts, .. } => {
                let done = checks.iter().all(|c| c.revision == revision);
                if done {
                    self.revision += 1;
                    self.head = serde_json::from_str(&puts[0].value).expect("a head");
                    self.accepted.push((self.head.number, self.time));
                }
                StoreReply::Swapped {
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

    /// An operator rolls a bundle of his own at each router.
    fn roll(&self, all: &mut Vec<World>) {
        for r in [0, 1] {
            if self.rolled[r] {
                continue;
            }
            let number = 2 + r as u64;
            self.change(
                format!("bundle {number} is rolled at {}", NAMES[r]),
                all,
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

    fn disturb(&self, all: &mut Vec<World>) {
        if self.cuts == 0 {
            return;
        }
        for r in [0, 1] {
            self.change(
                format!("{} is cut from the service, or healed", NAMES[r]),
                all,
                |w| {
                    w.cuts -= 1;
                    w.cut[r] = !w.cut[r];
                },
            );
        }
        self.change("the routers are cut apart, or healed".into(), all, |w| {
            w.cuts -= 1;
            w.apart = !w.apart;
            w.letters = [None, None];
        });
    }

    fn broken(&self) -> Option<String> {
        if self.broken.is_some() {
            return self.broken.clone();
        }
        for r in [0, 1] {
            let router = &self.routers[r];
            let newer = self.accepted.iter().find(|(n, _)| *n > router.number());
            let Some((number, at)) = newer else {
                continue;
            };
            if router.proven(self.time) && self.time >= at + PROOF {
                return Some(format!(
                    "{} takes work under bundle {} at {}, although {number} was accepted at {at}",
                    NAMES[r],
                    router.number(),
                    self.time
                ));
            }
        }
        self.probe()
    }

    /// Whether the agent would run a request of a router whose bundle is older.
    fn probe(&self) -> Option<String> {
        let own = self.agent.brief.number;
        [0, 1]
            .into_iter()
            .filter(|r| self.routers[*r].number() < own)
            .find_map(|r| {
                let bundle = self.routers[r].number();
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
                let started = self.clone().tell_agent(r, Message::Run(Box::new(order)));
                started.then(|| format!("an agent at bundle {own} ran work of bundle {bundle}"))
            })
    }
}

const CUTS: Faults = Faults {
    rules: Rules::ALL,
    cuts: 1,
    lost_answers: 1,
    cut_first: false,
    horizon: 2,
};

fn check(faults: Faults) -> Found<World> {
    explore(
        LIMIT,
        World::new(&faults),
        |w| w.next(&faults),
        World::broken,
    )
}

fn holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    let name = format!("bundles, {name}, up to time {}", faults.horizon);
    must_hold(&name, &check(faults), |w| &w.last.0);
}

#[test]
fn a_bundle_once_accepted_is_in_force_everywhere_through_a_cut_and_a_lost_answer() {
    holds("a cut and a lost answer", CUTS);
}

#[test]
fn a_bundle_once_accepted_is_in_force_everywhere_through_a_later_cut() {
    holds(
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
    holds(
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
    holds(
        "r1 cut off, then another cut",
        Faults {
            cut_first: true,
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
                rules: off(|r| r.head_proof = false),
                ..CUTS
            },
        ),
        (
            "bundle_refusal",
            Faults {
                rules: off(|r| r.bundle_refusal = false),
                ..CUTS
            },
        ),
        (
            "settled_only",
            Faults {
                rules: off(|r| r.settled_only = false),
                cuts: 2,
                ..CUTS
            },
        ),
    ];
    for (rule, faults) in table {
        must_break("bundles", rule, check(faults).broken);
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
    walks(300, |seed| {
        let start = World::new(&faults);
        let fault = walk(start, |w| w.next(&faults), World::broken, seed, 250)?;
        Some(fault.0)
    });
}
