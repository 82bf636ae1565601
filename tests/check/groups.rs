//! Model of presence leases and epochs: three instances, two groups, two epochs.
//!
//! In the first record group 1 has epoch 1 and the members a (leader) and b; it serves when
//! the exploration starts. The second record moves b into group 2 at epoch 2, led by c.
//! One router sends the assignment of the first record, another one that of the second
//! record and the release of group 1, each at any time. Messages are delayed without bound
//! and lost. Agents crash and restart with empty memory, are paused while time passes, and
//! their clocks drift apart by up to the margin.
//!
//! Invariants: no instance serves in two groups, a group runs requests only while the grant
//! of every member is valid, and a run ordered for one epoch isn't run under another one.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, Rules, RunResult,
};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{
    GroupId, GroupRecord, GroupRole, InstanceId, Member, Millis, ModelKind, Phase, RequestId,
};

use crate::explore::{
    explore, must_break, must_hold, random_walk, random_walks, without, MAX_STATES,
};
use crate::hashed::{describe, Hashed, Label};

const NAMES: [&str; 3] = ["a", "b", "c"];
const LEASE_MS: Millis = 2;

/// Faults that may occur in one path, and how often.
#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    margin: Millis,
    crashes: u8,
    /// Indices of the agents that may crash.
    may_crash: &'static [usize],
    drifts: u8,
    /// Time at which the model's clock stops.
    horizon: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    time: Millis,
    agents: Vec<Hashed<AgentState>>,
    /// How far the clock of each agent is behind `time`.
    clock_lag: [Millis; 3],
    network: Vec<Envelope>,
    crashes: u8,
    drifts: u8,
    /// Latest grant of each member for each epoch: member, epoch, and `time` of the grant.
    grants: Vec<(usize, u64, Millis)>,
    /// Invariant that a started run has broken.
    violation: Option<String>,
    last_step: Label,
}

/// A message in transit, with the incarnation that sent it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Envelope {
    from: usize,
    incarnation: u64,
    to: usize,
    message: Hashed<Message>,
}

fn id(i: usize) -> InstanceId {
    InstanceId::new(NAMES[i])
}

fn index(id: &InstanceId) -> usize {
    NAMES
        .iter()
        .position(|n| *n == id.as_str())
        .expect("a known name")
}

fn record(number: u64, epoch: u64, members: &[usize]) -> GroupRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    GroupRecord {
        id: GroupId::new("d", number),
        epoch,
        members: members
            .iter()
            .map(|m| Member {
                instance: id(*m),
                addr,
            })
            .collect(),
        model: Arc::from("m"),
        version: Arc::from("1"),
        kind: ModelKind::Service,
        role: GroupRole::Mixed,
        adapters: Vec::new(),
        load_ms: 1,
        phase: Phase::Serving,
    }
}

/// All records that a router may know.
fn records() -> [GroupRecord; 2] {
    [record(1, 1, &[0, 1]), record(2, 2, &[2, 1])]
}

fn router_peer(name: &str) -> Peer {
    Peer {
        id: InstanceId::new(name),
        incarnation: 1,
        role: PeerRole::Router,
    }
}

fn new_agent(i: usize, incarnation: u64, clock: Millis, faults: &Faults) -> AgentState {
    let params = AgentParams {
        lease_ms: LEASE_MS,
        margin_ms: faults.margin,
        ask_ms: 1,
        slots: 1,
        report_ms: 1_000,
        ..AgentParams::default()
    };
    let mut state = AgentState::new(id(i), incarnation, clock, params);
    state.rules = faults.rules;
    state
}

impl World {
    fn new(faults: &Faults) -> Self {
        // The agents have been running for longer than the wait after a start.
        let agents = (0..3).map(|i| {
            let mut agent = new_agent(i, 1, 0, faults);
            agent.grants_from = 0;
            Hashed::new(agent)
        });
        let start = Self {
            time: 0,
            agents: agents.collect(),
            clock_lag: [0; 3],
            network: Vec::new(),
            crashes: faults.crashes,
            drifts: faults.drifts,
            grants: Vec::new(),
            violation: None,
            last_step: Label("start".into()),
        };
        start.form_group()
    }

    /// Forms group 1.
    fn form_group(self) -> Self {
        let [first, _] = records();
        let message = Message::Assign(Box::new(first));
        let from = router_peer("r1");
        let mut world = self.feed(0, Event::Message { from, message }, "start".into());
        while !world.network.is_empty() {
            let mut successors = Vec::new();
            world.deliver(&mut successors);
            world = successors.swap_remove(0);
        }
        world
    }

    fn clock(&self, i: usize) -> Millis {
        self.time - self.clock_lag[i]
    }

    fn feed(&self, i: usize, event: Event, what: String) -> World {
        let mut next = self.clone();
        next.last_step = Label(what);
        let mut node = Node::Agent(Box::new(self.agents[i].clone_inner()));
        let ordered = match &event {
            Event::Message {
                message: Message::Run(order),
                ..
            } => Some(order.epoch),
            _ => None,
        };
        let mut effects = step(&mut node, self.clock(i), event);
        let mut at = 0;
        while at < effects.len() {
            let effect = effects[at].clone();
            at += 1;
            match effect {
                Effect::Send { to, message } => next.send(i, &to, message),
                Effect::Endpoint(EndpointCall::Load(order)) => {
                    // Loads end at once: a slow load only delays the opening of a group.
                    let event = Event::Endpoint(EndpointEvent::Loaded {
                        epoch: order.epoch,
                        ok: true,
                    });
                    effects.extend(step(&mut node, self.clock(i), event));
                }
                Effect::Endpoint(EndpointCall::Start(order)) => {
                    next.on_start(i, order.epoch, order.valid_until, ordered);
                    // The run ends as soon as the invariants have been checked.
                    let result = RunResult::Complete(200);
                    let event = Event::Endpoint(EndpointEvent::Ended {
                        run: order.run,
                        result,
                    });
                    effects.extend(step(&mut node, self.clock(i), event));
                }
                _ => {}
            }
        }
        if let Node::Agent(state) = node {
            next.record_grant(i, &state);
            next.agents[i] = Hashed::new(*state);
        }
        next
    }

    fn record_grant(&mut self, i: usize, state: &AgentState) {
        let Some(grant) = &state.grant else {
            return;
        };
        let until = grant.until;
        let renewed = self.agents[i].grant.as_ref().map(|g| (g.epoch, g.until));
        if renewed != Some((grant.epoch, until)) {
            self.grants.retain(|(m, e, _)| (*m, *e) != (i, grant.epoch));
            self.grants.push((i, grant.epoch, self.time));
            self.grants.sort_unstable();
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        // Routers aren't modelled as nodes; messages to them are dropped.
        let Some(to) = NAMES.iter().position(|n| *n == to.as_str()) else {
            return;
        };
        // At most one message per sender and receiver is in transit: a newer one replaces
        // one that was not delivered yet.
        self.network.retain(|l| (l.from, l.to) != (from, to));
        self.network.push(Envelope {
            from,
            incarnation: self.agents[from].incarnation,
            to,
            message: Hashed::new(message),
        });
        self.network.sort_by_key(|l| (l.from, l.to));
    }

    /// Checks the invariants when an endpoint gets an order to start a run.
    fn on_start(&mut self, i: usize, epoch: u64, valid_until: Millis, ordered: Option<u64>) {
        if self.clock(i) >= valid_until {
            return;
        }
        let record = records()
            .into_iter()
            .find(|r| r.epoch == epoch)
            .expect("a known epoch");
        if ordered.is_some_and(|o| o != epoch) {
            self.violation = Some(format!(
                "a run ordered for epoch {ordered:?} ran under {epoch}"
            ));
        }
        for member in &record.members {
            let m = index(&member.instance);
            let at = self.grants.iter().find(|(g, e, _)| (*g, *e) == (m, epoch));
            // A grant may count for at most the lease and one unit of drift.
            let is_valid = at.is_some_and(|(_, _, at)| self.time < at + LEASE_MS + 1);
            if !is_valid {
                self.violation = Some(format!(
                    "group served at epoch {epoch} while {} was missing",
                    NAMES[m]
                ));
            }
        }
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut successors = Vec::new();
        if self.time < faults.horizon {
            for paused in [None, Some(0), Some(1), Some(2)] {
                self.advance_time(paused, &mut successors);
            }
        }
        self.deliver(&mut successors);
        self.send_orders(&mut successors);
        for i in faults.may_crash {
            self.crash(*i, faults, &mut successors);
        }
        successors
    }

    /// One unit of time passes, and all agents except the paused one get a tick.
    fn advance_time(&self, paused: Option<usize>, successors: &mut Vec<World>) {
        let drifting = (0..3).map(Some).filter(|_| self.drifts > 0);
        for slow in std::iter::once(None).chain(drifting) {
            let mut next = self.clone();
            next.time += 1;
            if let Some(i) = slow {
                next.clock_lag[i] += 1;
                next.drifts -= 1;
            }
            for i in (0..3).filter(|i| Some(*i) != paused) {
                next = next.feed(i, Event::Tick, String::new());
            }
            let name = |i: Option<usize>| i.map_or("nobody", |i| NAMES[i]);
            let what = format!(
                "time passes; paused: {}, clock stopped: {}",
                name(paused),
                name(slow)
            );
            next.last_step = Label(what);
            successors.push(next);
        }
    }

    fn deliver(&self, successors: &mut Vec<World>) {
        for n in 0..self.network.len() {
            let mut less = self.clone();
            let envelope = less.network.remove(n);
            let (from, to) = (NAMES[envelope.from], NAMES[envelope.to]);
            let what = format!("{to} receives {} from {from}", describe(&envelope.message));
            let event = Event::Message {
                from: Peer {
                    id: id(envelope.from),
                    incarnation: envelope.incarnation,
                    role: PeerRole::Agent,
                },
                message: envelope.message.clone_inner(),
            };
            successors.push(less.feed(envelope.to, event, what));
        }
    }

    /// Sends the orders of two routers: r1 knows the first record, r2 the second.
    fn send_orders(&self, successors: &mut Vec<World>) {
        let [first, second] = records();
        let release = Message::Release {
            group: first.id.clone(),
            epoch: first.epoch,
        };
        let assign = |r| Message::Assign(Box::new(r));
        for (router, leader, message) in [
            ("r1", 0, assign(first)),
            ("r2", 2, assign(second)),
            ("r2", 0, release),
        ] {
            let what = format!("{router} sends {}: {}", NAMES[leader], describe(&message));
            let from = router_peer(router);
            successors.push(self.feed(leader, Event::Message { from, message }, what));
        }
    }

    /// Orders a run of each record at each open leader, without keeping the resulting state;
    /// returns the first broken invariant.
    fn find_invalid_run(&self) -> Option<String> {
        let leaders = (0..3).filter(|i| self.agents[*i].is_open(self.clock(*i)));
        leaders
            .flat_map(|i| records().map(|r| (i, r)))
            .find_map(|(i, record)| {
                let message = Message::Run(Box::new(self.run_order(&record, i)));
                let from = router_peer("r1");
                self.feed(i, Event::Message { from, message }, String::new())
                    .violation
            })
    }

    fn run_order(&self, record: &GroupRecord, leader: usize) -> RunOrder {
        RunOrder {
            run: RunId {
                request: RequestId {
                    node: 1,
                    number: record.epoch,
                },
                attempt: 1,
            },
            group: record.id.clone(),
            epoch: record.epoch,
            incarnation: self.agents[leader].incarnation,
            bundle: 0,
            class: Arc::from("c"),
            account: Arc::from("x"),
            share: 1,
            left_ms: 1_000,
            once: None,
            path: Arc::from("/"),
            body: Arc::from(""),
            offset: 0,
            prefix: String::new(),
        }
    }

    fn crash(&self, i: usize, faults: &Faults, successors: &mut Vec<World>) {
        if self.crashes == 0 {
            return;
        }
        let mut next = self.clone();
        next.crashes -= 1;
        let incarnation = self.agents[i].incarnation + 1;
        next.agents[i] = Hashed::new(new_agent(i, incarnation, self.clock(i), faults));
        // Messages that it sent may still arrive. Those to it are lost, as the new process
        // has new sessions.
        next.network.retain(|l| l.to != i);
        next.last_step = Label(format!("{} crashes and restarts", NAMES[i]));
        successors.push(next);
    }

    fn violation(&self) -> Option<String> {
        if let Some(reason) = self.violation.clone().or_else(|| self.find_invalid_run()) {
            return Some(reason);
        }
        let open: Vec<_> = (0..3)
            .filter(|i| self.agents[*i].is_open(self.clock(*i)))
            .filter_map(|i| self.agents[i].lead.as_ref())
            .collect();
        for (n, one) in open.iter().enumerate() {
            for other in &open[n + 1..] {
                let shared = one
                    .record
                    .members
                    .iter()
                    .find(|m| other.record.has(&m.instance));
                if let Some(shared) = shared {
                    return Some(format!("{} serves in two groups", shared.instance));
                }
            }
        }
        None
    }
}

impl<T: Clone + std::hash::Hash> Hashed<T> {
    fn clone_inner(&self) -> T {
        T::clone(self)
    }
}

fn check(faults: Faults) -> crate::explore::Exploration<World> {
    explore(
        MAX_STATES,
        World::new(&faults),
        |w| w.next(&faults),
        World::violation,
    )
}

const DRIFT: Faults = Faults {
    rules: Rules::ALL,
    margin: 1,
    crashes: 0,
    may_crash: &[],
    drifts: 1,
    horizon: 4,
};

const MEMBER_CRASH: Faults = Faults {
    crashes: 1,
    may_crash: &[1],
    drifts: 0,
    ..DRIFT
};

const ANY_CRASH: Faults = Faults {
    may_crash: &[0, 1, 2],
    horizon: 3,
    ..MEMBER_CRASH
};

fn check_holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    let name = format!("groups, {name}, up to time {}", faults.horizon);
    must_hold(&name, &check(faults), |w| &w.last_step.0);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_through_drift() {
    check_holds("one unit of drift", DRIFT);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_when_the_moved_member_crashes() {
    check_holds("crash of the moved member", MEMBER_CRASH);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_when_anyone_crashes() {
    check_holds("crash of any agent", ANY_CRASH);
}

#[test]
fn each_rule_is_needed() {
    let table = [
        (
            "start_wait",
            Faults {
                rules: without(|r| r.start_wait = false),
                ..MEMBER_CRASH
            },
        ),
        (
            "early_clock",
            Faults {
                rules: without(|r| r.early_clock = false),
                ..DRIFT
            },
        ),
        (
            "exclusive_grant",
            Faults {
                rules: without(|r| r.exclusive_grant = false),
                ..DRIFT
            },
        ),
        (
            "epoch_fence",
            Faults {
                rules: without(|r| r.epoch_fence = false),
                ..DRIFT
            },
        ),
        (
            "all_present",
            Faults {
                rules: without(|r| r.all_present = false),
                ..DRIFT
            },
        ),
        ("margin for drift", Faults { margin: 0, ..DRIFT }),
    ];
    for (rule, faults) in table {
        must_break("groups", rule, check(faults).violation);
    }
}

#[test]
fn long_random_runs_break_nothing() {
    let faults = Faults {
        crashes: 4,
        may_crash: &[0, 1, 2],
        drifts: 1,
        horizon: 40,
        ..DRIFT
    };
    random_walks(300, |seed| {
        let start = World::new(&faults);
        let found = random_walk(start, |w| w.next(&faults), World::violation, seed, 250)?;
        Some(found.0)
    });
}
