//! Requests that may not be repeated: two routers, two agents, restarts.
//!
//! The same caller's key reaches both routers. Calls to the service are carried
//! out late, or carried out and their answer lost. Messages are delayed without
//! bound and overtake each other; sessions break; an agent starts again with
//! empty memory while its endpoint goes on; a router dies for good. Time stands
//! still: nothing here may depend on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::router::{
    AnswerPart, CallId, CallerRequest, Keys, ListReply, Outcome, RouterKnobs, RouterState,
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

use crate::explore::{explore, must_break, must_hold, off, walk, walks, Found, LIMIT};
use crate::hashed::{kind, Hashed, Label};

/// Nodes 0 and 1 are routers, 2 and 3 agents.
const NAMES: [&str; 4] = ["r1", "r2", "x", "y"];
const ROUTERS: [usize; 2] = [0, 1];
const AGENTS: [usize; 2] = [2, 3];

#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    /// Answers of the service that are lost although the write took effect.
    lost_answers: u8,
    /// Writes that take effect after their call has failed.
    late_writes: u8,
    restarts: u8,
    cuts: u8,
    router_deaths: u8,
    /// Whether one of the routers writes the claims of both.
    one_writer: bool,
    seeds: [u64; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Letter {
    from: Peer,
    to: usize,
    message: Hashed<Message>,
}

/// A call under way, or one that has failed for its caller and is still under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Flying {
    router: usize,
    call: Option<CallId>,
    op: StoreCall,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    /// Stands still once the routers have dialled the agents.
    now: u64,
    nodes: Vec<Hashed<Node>>,
    dead: [bool; 2],
    arrived: [bool; 2],
    claims: BTreeMap<String, (String, i64)>,
    revision: i64,
    flying: Vec<Flying>,
    letters: Vec<Letter>,
    /// Routers that haven't heard yet that an agent's session was renewed.
    news: Vec<(usize, usize)>,
    /// Runs that the endpoints carry out now, by agent.
    active: Vec<(usize, RunId)>,
    /// How often an endpoint has started the request.
    started: u8,
    /// Requests under which it was started.
    under: Vec<RequestId>,
    /// Requests whose caller was told that they weren't run.
    told_not_run: Vec<RequestId>,
    lost_answers: u8,
    late_writes: u8,
    restarts: u8,
    cuts: u8,
    router_deaths: u8,
    one_writer: bool,
    /// Life of claims by their lease.
    claim_ms: u64,
    broken: Option<String>,
    last: Label,
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

/// Serialization behind one name, whatever the type.
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
    const NEVER: u64 = 1_000_000_000;
    let knobs = RouterKnobs {
        prove_ms: NEVER,
        list_ms: NEVER,
        planner_ms: 3 * NEVER,
        plan_ms: NEVER,
        claim_ms: 0,
        claim_writers: 1,
        park_ms: 0,
        hint_ms: 1,
        attempts: 1,
        recall_ms: 0,
        claim_tries: 4,
        ramp_ms: 0,
        ..RouterKnobs::default()
    };
    let id = InstanceId::new(NAMES[i]);
    let mut state = RouterState::new(id, addr(), "h", 10 + i as u64, knobs);
    state.rules = faults.rules;
    state.seed = faults.seeds[i];
    Node::Router(Box::new(state))
}

fn listed(i: usize) -> Instance {
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
    let knobs = AgentKnobs {
        slots: 1,
        ..AgentKnobs::default()
    };
    let mut state = AgentState::new(InstanceId::new(NAMES[i]), incarnation, 0, knobs);
    // The wait after a start is the other model's matter; here time stands still.
    state.ready_at = 0;
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
            arrived: [false; 2],
            claims: BTreeMap::new(),
            revision: 1,
            flying: Vec::new(),
            letters: Vec::new(),
            news: Vec::new(),
            active: Vec::new(),
            started: 0,
            under: Vec::new(),
            told_not_run: Vec::new(),
            lost_answers: faults.lost_answers,
            late_writes: faults.late_writes,
            restarts: faults.restarts,
            cuts: faults.cuts,
            router_deaths: faults.router_deaths,
            one_writer: faults.one_writer,
            claim_ms: 0,
            broken: None,
            last: Label("start".into()),
        };
        for r in ROUTERS {
            world.feed(r, Event::Tick);
            let list = if faults.one_writer {
                ROUTERS.map(listed).into()
            } else {
                Vec::new()
            };
            world.feed(r, Event::List(ListReply::Instances(list)));
        }
        if faults.one_writer {
            for r in ROUTERS {
                let other = world.peer(1 - r);
                world.feed(r, Event::Up(other));
            }
        }
        world.now = 100;
        for r in ROUTERS {
            world.feed(r, Event::Tick);
            for a in AGENTS {
                world.renew(r, a);
            }
        }
        for r in ROUTERS {
            let Node::Router(state) = &*world.nodes[r] else {
                panic!("a router");
            };
            assert!(state.agents.values().all(|a| a.report.is_some()) && state.agents.len() == 2);
        }
        assert!(
            world.letters.is_empty() && world.flying.is_empty(),
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

    fn alive(&self, i: usize) -> bool {
        i >= 2 || !self.dead[i]
    }

    /// Feeds one event and carries its effects out.
    fn feed(&mut self, i: usize, event: Event) {
        if !self.alive(i) {
            return;
        }
        let mut node = Node::clone(&self.nodes[i]);
        let effects = step(&mut node, self.now, event);
        if let Node::Router(state) = &mut node {
            // Numbers of calls that have ended are used again, so that states recur.
            state.next_call = state.calls.keys().max().map_or(1, |last| last + 1);
        }
        self.nodes[i] = Hashed::new(node);
        for effect in effects {
            self.carry_out(i, effect);
        }
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.send(i, index(&to), message),
            Effect::Store { call, op } => self.call(i, call, op),
            Effect::Answer { request, part } => self.told(request, &part),
            Effect::Endpoint(EndpointCall::Load(order)) => {
                let event = EndpointEvent::Loaded {
                    epoch: order.epoch,
                    ok: true,
                };
                self.feed(i, Event::Endpoint(event));
            }
            Effect::Endpoint(EndpointCall::Start(order)) => {
                self.active.push((i, order.run));
                self.started += 1;
                self.under.push(order.run.request);
                if self.started > 1 {
                    self.broken = Some("a request that may not be repeated ran twice".into());
                }
                if self.told_not_run.contains(&order.run.request) {
                    self.broken = Some("a request ran after its caller was told it didn't".into());
                }
            }
            _ => {}
        }
    }

    /// Control messages arrive at once; those of requests travel as letters.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        if let Message::Run(order) = &message {
            let keep = order.once.map_or(u64::MAX, |o| o.keep_ms);
            if keep < 2 * self.claim_ms {
                self.broken = Some("an agent may forget a key before its claim is gone".into());
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
            | Message::ClaimReply(_) => self.letters.push(Letter {
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

    fn call(&mut self, router: usize, call: CallId, op: StoreCall) {
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
            // Nobody plans here.
            StoreCall::Read { .. } | StoreCall::Renew { .. } | StoreCall::Revoke { .. } => {
                Err(StoreFault)
            }
            StoreCall::Swap { .. } => {
                self.flying.push(Flying {
                    router,
                    call: Some(call),
                    op,
                });
                return;
            }
        };
        // A failed read of the planner's doesn't mean that the service is down.
        let failed = result.is_err();
        self.feed(router, Event::Store { call, result });
        if failed {
            let call = u64::MAX;
            let result = Ok(StoreReply::Lease { lease: 1, ttl_s: 1 });
            self.feed(router, Event::Store { call, result });
        }
    }

    fn told(&mut self, request: RequestId, part: &AnswerPart) {
        let AnswerPart::Problem(problem) = part else {
            return;
        };
        if problem.outcome != Outcome::NotRun {
            return;
        }
        // Where another router writes the claim, its answer travels, and a copy of
        // the request that met the claim later may have run meanwhile.
        let ran = if self.one_writer {
            self.under.contains(&request)
        } else {
            self.started > 0
        };
        if ran {
            self.broken = Some("a caller was told `not run` although the request had run".into());
        }
        self.told_not_run.push(request);
    }

    /// A router hears that its session with an agent is gone and open again.
    fn renew(&mut self, r: usize, a: usize) {
        let down = Event::Down(InstanceId::new(NAMES[a]));
        self.feed(r, down);
        let router = self.peer(r);
        self.feed(a, Event::Down(router.id.clone()));
        self.feed(a, Event::Up(router));
        let agent = self.peer(a);
        self.feed(r, Event::Up(agent));
        // The report that greets a router comes behind the session's opening.
        let router = self.peer(r);
        self.feed(a, Event::Up(router));
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut all = Vec::new();
        self.arrive(&mut all);
        self.deliver(&mut all);
        self.store(&mut all);
        self.finish(&mut all);
        self.disturb(faults, &mut all);
        for world in &mut all {
            // Order doesn't matter in a set; a sorted one is found again.
            world.letters.sort_by_key(|l| (l.to, l.message.key()));
            world.active.sort_unstable();
        }
        all
    }

    fn change(&self, what: String, all: &mut Vec<World>, apply: impl FnOnce(&mut World)) {
        let mut next = self.clone();
        next.last = Label(what);
        apply(&mut next);
        all.push(next);
    }

    fn arrive(&self, all: &mut Vec<World>) {
        for r in ROUTERS
            .into_iter()
            .filter(|r| !self.arrived[*r] && !self.dead[*r])
        {
            self.change(format!("the request arrives at {}", NAMES[r]), all, |w| {
                w.arrived[r] = true;
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
                        once_key: Some("key".into()),
                    })),
                );
            });
        }
    }

    fn deliver(&self, all: &mut Vec<World>) {
        for n in 0..self.letters.len() {
            let letter = &self.letters[n];
            let what = format!("{} hears {}", NAMES[letter.to], kind(&letter.message));
            self.change(what, all, |w| {
                let letter = w.letters.remove(n);
                let message = Message::clone(&letter.message);
                w.feed(
                    letter.to,
                    Event::Message {
                        from: letter.from,
                        message,
                    },
                );
            });
        }
    }

    fn store(&self, all: &mut Vec<World>) {
        for n in 0..self.flying.len() {
            let flying = self.flying[n].clone();
            let name = NAMES[flying.router];
            let Some(call) = flying.call else {
                self.change(format!("a late write of {name} takes effect"), all, |w| {
                    w.flying.remove(n);
                    w.swap(&flying.op);
                });
                continue;
            };
            self.change(format!("{name}'s swap is answered"), all, |w| {
                w.flying.remove(n);
                let reply = w.swap(&flying.op);
                w.feed(
                    flying.router,
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
                self.change(
                    format!("{name}'s swap is done, its answer lost"),
                    all,
                    |w| {
                        w.lost_answers -= 1;
                        w.flying.remove(n);
                        w.swap(&flying.op);
                        w.feed(flying.router, event);
                    },
                );
            }
            if self.late_writes > 0 {
                self.change(
                    format!("{name}'s swap fails and is still under way"),
                    all,
                    |w| {
                        w.late_writes -= 1;
                        w.flying[n].call = None;
                        w.feed(flying.router, lost);
                    },
                );
            }
        }
    }

    fn swap(&mut self, op: &StoreCall) -> StoreReply {
        let StoreCall::Swap {
            checks,
            puts,
            reads,
            ..
        } = op
        else {
            panic!("only swaps fly");
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
        StoreReply::Swapped {
            done,
            revision: self.revision,
            entries: entries.collect(),
        }
    }

    /// An endpoint ends what it runs; an agent that has restarted doesn't hear it.
    fn finish(&self, all: &mut Vec<World>) {
        for n in 0..self.active.len() {
            let (a, run) = self.active[n];
            self.change(
                format!("the endpoint of {} ends its run", NAMES[a]),
                all,
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

    fn disturb(&self, faults: &Faults, all: &mut Vec<World>) {
        for n in 0..self.news.len() {
            let (r, a) = self.news[n];
            self.change(
                format!("{} renews its session with {}", NAMES[r], NAMES[a]),
                all,
                |w| {
                    w.news.remove(n);
                    w.renew(r, a);
                },
            );
        }
        for a in AGENTS {
            if self.restarts > 0 {
                self.change(
                    format!("{} starts again with empty memory", NAMES[a]),
                    all,
                    |w| {
                        w.restarts -= 1;
                        w.nodes[a] = Hashed::new(agent(a, 2, faults.rules));
                        w.news.extend(ROUTERS.map(|r| (r, a)));
                    },
                );
            }
            for r in ROUTERS
                .into_iter()
                .filter(|r| self.cuts > 0 && !self.dead[*r])
            {
                self.change(
                    format!("{} and {} lose their session", NAMES[r], NAMES[a]),
                    all,
                    |w| {
                        w.cuts -= 1;
                        let between = |l: &Letter| {
                            (l.to == r && index(&l.from.id) == a)
                                || (l.to == a && index(&l.from.id) == r)
                        };
                        w.letters.retain(|l| !between(l));
                        w.news.push((r, a));
                    },
                );
            }
        }
        for r in ROUTERS
            .into_iter()
            .filter(|r| self.router_deaths > 0 && !self.dead[*r])
        {
            self.change(format!("{} dies", NAMES[r]), all, |w| {
                w.router_deaths -= 1;
                w.dead[r] = true;
                w.news.retain(|(n, _)| *n != r);
            });
        }
    }
}

const QUIET: Faults = Faults {
    rules: Rules::ALL,
    lost_answers: 0,
    late_writes: 0,
    restarts: 0,
    cuts: 0,
    router_deaths: 0,
    one_writer: false,
    seeds: [1, 2],
};

fn check(faults: Faults) -> Found<World> {
    explore(
        LIMIT,
        World::new(&faults),
        |w| w.next(&faults),
        |w| w.broken.clone(),
    )
}

fn holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    for seeds in [[1, 2], [2, 1], [1, 1]] {
        let found = check(Faults { seeds, ..faults });
        let name = format!("claims, {name}, seeds {seeds:?}");
        must_hold(&name, &found, |w| &w.last.0);
    }
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_an_agents_restart() {
    holds(
        "one restart",
        Faults {
            restarts: 1,
            ..QUIET
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_a_broken_session() {
    holds("one broken session", Faults { cuts: 1, ..QUIET });
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_a_routers_death_and_a_lost_answer() {
    holds(
        "a router's death and a lost answer",
        Faults {
            lost_answers: 1,
            router_deaths: 1,
            ..QUIET
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_through_late_writes() {
    holds(
        "a late write and a router's death",
        Faults {
            late_writes: 1,
            router_deaths: 1,
            ..QUIET
        },
    );
}

#[test]
fn a_request_that_may_not_be_repeated_runs_once_where_one_router_writes_all_claims() {
    let faults = Faults {
        one_writer: true,
        ..QUIET
    };
    holds("one writer", faults);
    let lost_answers = 1;
    holds(
        "one writer, a lost answer",
        Faults {
            lost_answers,
            ..faults
        },
    );
    let restarts = 1;
    holds("one writer, one restart", Faults { restarts, ..faults });
}

#[test]
fn each_rule_is_needed() {
    let table = [
        (
            "claim_first",
            Faults {
                rules: off(|r| r.claim_first = false),
                ..QUIET
            },
        ),
        (
            "incarnation_check",
            Faults {
                rules: off(|r| r.incarnation_check = false),
                restarts: 1,
                ..QUIET
            },
        ),
        (
            "query_bars",
            Faults {
                rules: off(|r| r.query_bars = false),
                router_deaths: 1,
                ..QUIET
            },
        ),
    ];
    for (rule, faults) in table {
        let seeds = [[1, 2], [2, 1], [1, 1]];
        let found = seeds
            .into_iter()
            .find_map(|seeds| check(Faults { seeds, ..faults }).broken);
        must_break("claims", rule, found);
    }
}

#[test]
fn long_random_runs_break_nothing() {
    let faults = Faults {
        lost_answers: 2,
        late_writes: 2,
        restarts: 1,
        cuts: 3,
        router_deaths: 1,
        ..QUIET
    };
    walks(400, |seed| {
        let start = World::new(&Faults {
            seeds: [seed, seed ^ 1],
            ..faults
        });
        let fault = walk(start, |w| w.next(&faults), |w| w.broken.clone(), seed, 120)?;
        Some(fault.0)
    });
}
