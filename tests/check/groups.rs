//! Presence leases, epochs and moves: three instances, two groups, three epochs.
//!
//! The first record has group 1 at epoch 1 with members a (leader) and b, which
//! serves when the exploration starts. The second moves b into group 2 at epoch
//! 2, led by c. Two routers send the orders that follow from either record at
//! any time, and the release of group 1. Messages are delayed without bound
//! and lost; agents crash and start again with empty memory, are paused while
//! time passes, and their clocks drift apart by up to the margin.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, Rules, RunResult,
};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{
    GroupId, GroupRecord, GroupRole, InstanceId, Member, Millis, ModelKind, Phase, RequestId,
};

use crate::explore::{explore, must_break, must_hold, off, walk, walks, LIMIT};
use crate::hashed::{kind, Hashed, Label};

const NAMES: [&str; 3] = ["a", "b", "c"];
const LEASE: Millis = 2;

/// Which faults may come, and how often in one run.
#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    margin: Millis,
    crashes: u8,
    /// Agents that may crash.
    fragile: &'static [usize],
    drifts: u8,
    /// Time up to which all is explored.
    horizon: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    time: Millis,
    agents: Vec<Hashed<AgentState>>,
    /// How far each clock is behind true time.
    behind: [Millis; 3],
    network: Vec<Letter>,
    crashes: u8,
    drifts: u8,
    /// True time of each member's last grant, by epoch; what really happened.
    granted: Vec<(usize, u64, Millis)>,
    /// A handed-over order that broke an invariant.
    broken: Option<String>,
    last: Label,
}

/// A message in flight, with the incarnation that sent it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Letter {
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

/// Every record that a router may know.
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

fn fresh(i: usize, incarnation: u64, clock: Millis, faults: &Faults) -> AgentState {
    let knobs = AgentKnobs {
        lease_ms: LEASE,
        margin_ms: faults.margin,
        ask_ms: 1,
        slots: 1,
        report_ms: 1_000,
        ..AgentKnobs::default()
    };
    let mut state = AgentState::new(id(i), incarnation, clock, knobs);
    state.rules = faults.rules;
    state
}

impl World {
    fn new(faults: &Faults) -> Self {
        // Agents that have run for a while need not wait any more.
        let agents = (0..3).map(|i| {
            let mut agent = fresh(i, 1, 0, faults);
            agent.ready_at = 0;
            Hashed::new(agent)
        });
        let start = Self {
            time: 0,
            agents: agents.collect(),
            behind: [0; 3],
            network: Vec::new(),
            crashes: faults.crashes,
            drifts: faults.drifts,
            granted: Vec::new(),
            broken: None,
            last: Label("start".into()),
        };
        start.serving()
    }

    /// Group 1 has formed.
    fn serving(self) -> Self {
        let [first, _] = records();
        let message = Message::Assign(Box::new(first));
        let from = router_peer("r1");
        let mut world = self.feed(0, Event::Message { from, message }, "start".into());
        while !world.network.is_empty() {
            let mut all = Vec::new();
            world.deliver(&mut all);
            world = all.swap_remove(0);
        }
        world
    }

    fn clock(&self, i: usize) -> Millis {
        self.time - self.behind[i]
    }

    fn feed(&self, i: usize, event: Event, what: String) -> World {
        let mut next = self.clone();
        next.last = Label(what);
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
                    // Loads end at once here; slow ones only close groups longer.
                    let event = Event::Endpoint(EndpointEvent::Loaded {
                        epoch: order.epoch,
                        ok: true,
                    });
                    effects.extend(step(&mut node, self.clock(i), event));
                }
                Effect::Endpoint(EndpointCall::Start(order)) => {
                    next.hand_over(i, order.epoch, order.valid_until, ordered);
                    // What was handed over is judged; it ends at once.
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
            next.note_grant(i, &state);
            next.agents[i] = Hashed::new(*state);
        }
        next
    }

    fn note_grant(&mut self, i: usize, state: &AgentState) {
        let Some(grant) = &state.grant else {
            return;
        };
        let until = grant.until;
        let renewed = self.agents[i].grant.as_ref().map(|g| (g.epoch, g.until));
        if renewed != Some((grant.epoch, until)) {
            self.granted
                .retain(|(m, e, _)| (*m, *e) != (i, grant.epoch));
            self.granted.push((i, grant.epoch, self.time));
            self.granted.sort_unstable();
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        // Routers are not modelled as nodes; what goes to them is dropped.
        let Some(to) = NAMES.iter().position(|n| *n == to.as_str()) else {
            return;
        };
        // One letter a direction: a newer one takes the place of one not yet heard.
        self.network.retain(|l| (l.from, l.to) != (from, to));
        self.network.push(Letter {
            from,
            incarnation: self.agents[from].incarnation,
            to,
            message: Hashed::new(message),
        });
        self.network.sort_by_key(|l| (l.from, l.to));
    }

    /// The endpoint takes an order; this is where the promises are judged.
    fn hand_over(&mut self, i: usize, epoch: u64, valid_until: Millis, ordered: Option<u64>) {
        if self.clock(i) >= valid_until {
            return;
        }
        let record = records()
            .into_iter()
            .find(|r| r.epoch == epoch)
            .expect("a known epoch");
        if ordered.is_some_and(|o| o != epoch) {
            self.broken = Some(format!(
                "a run ordered for epoch {ordered:?} ran under {epoch}"
            ));
        }
        for member in &record.members {
            let m = index(&member.instance);
            let at = self.granted.iter().find(|(g, e, _)| (*g, *e) == (m, epoch));
            // A lease, one unit of drift: the longest that a grant may count.
            let fresh = at.is_some_and(|(_, _, at)| self.time < at + LEASE + 1);
            if !fresh {
                self.broken = Some(format!(
                    "group served at epoch {epoch} while {} was missing",
                    NAMES[m]
                ));
            }
        }
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut all = Vec::new();
        if self.time < faults.horizon {
            for paused in [None, Some(0), Some(1), Some(2)] {
                self.pass_time(paused, &mut all);
            }
        }
        self.deliver(&mut all);
        self.order(&mut all);
        for i in faults.fragile {
            self.crash(*i, faults, &mut all);
        }
        all
    }

    /// One unit of time passes; all agents but the paused one are polled.
    fn pass_time(&self, paused: Option<usize>, all: &mut Vec<World>) {
        let drifting = (0..3).map(Some).filter(|_| self.drifts > 0);
        for slow in std::iter::once(None).chain(drifting) {
            let mut next = self.clone();
            next.time += 1;
            if let Some(i) = slow {
                next.behind[i] += 1;
                next.drifts -= 1;
            }
            for i in (0..3).filter(|i| Some(*i) != paused) {
                next = next.feed(i, Event::Tick, String::new());
            }
            let name = |i: Option<usize>| i.map_or("nobody", |i| NAMES[i]);
            let what = format!(
                "time passes; paused: {}, clock stood: {}",
                name(paused),
                name(slow)
            );
            next.last = Label(what);
            all.push(next);
        }
    }

    fn deliver(&self, all: &mut Vec<World>) {
        for n in 0..self.network.len() {
            let mut less = self.clone();
            let letter = less.network.remove(n);
            let (from, to) = (NAMES[letter.from], NAMES[letter.to]);
            let what = format!("{to} hears {} from {from}", kind(&letter.message));
            let event = Event::Message {
                from: Peer {
                    id: id(letter.from),
                    incarnation: letter.incarnation,
                    role: PeerRole::Agent,
                },
                message: letter.message.clone_inner(),
            };
            all.push(less.feed(letter.to, event, what));
        }
    }

    /// Two routers: one knows the first record, one the second.
    fn order(&self, all: &mut Vec<World>) {
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
            let what = format!("{router} tells {}: {}", NAMES[leader], kind(&message));
            let from = router_peer(router);
            all.push(self.feed(leader, Event::Message { from, message }, what));
        }
    }

    /// What a run ordered by either record would do now; judged, not kept.
    fn probe(&self) -> Option<String> {
        let leaders = (0..3).filter(|i| self.agents[*i].open(self.clock(*i)));
        leaders
            .flat_map(|i| records().map(|r| (i, r)))
            .find_map(|(i, record)| {
                let message = Message::Run(Box::new(self.run(&record, i)));
                let from = router_peer("r1");
                self.feed(i, Event::Message { from, message }, String::new())
                    .broken
            })
    }

    fn run(&self, record: &GroupRecord, leader: usize) -> RunOrder {
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

    fn crash(&self, i: usize, faults: &Faults, all: &mut Vec<World>) {
        if self.crashes == 0 {
            return;
        }
        let mut next = self.clone();
        next.crashes -= 1;
        let incarnation = self.agents[i].incarnation + 1;
        next.agents[i] = Hashed::new(fresh(i, incarnation, self.clock(i), faults));
        // What it sent before may still arrive; its sessions as a new process are new.
        next.network.retain(|l| l.to != i);
        next.last = Label(format!("{} crashes and starts again", NAMES[i]));
        all.push(next);
    }

    fn broken(&self) -> Option<String> {
        if let Some(why) = self.broken.clone().or_else(|| self.probe()) {
            return Some(why);
        }
        let open: Vec<_> = (0..3)
            .filter(|i| self.agents[*i].open(self.clock(*i)))
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

fn check(faults: Faults) -> crate::explore::Found<World> {
    explore(
        LIMIT,
        World::new(&faults),
        |w| w.next(&faults),
        World::broken,
    )
}

const DRIFT: Faults = Faults {
    rules: Rules::ALL,
    margin: 1,
    crashes: 0,
    fragile: &[],
    drifts: 1,
    horizon: 4,
};

const MEMBER_CRASH: Faults = Faults {
    crashes: 1,
    fragile: &[1],
    drifts: 0,
    ..DRIFT
};

const ANY_CRASH: Faults = Faults {
    fragile: &[0, 1, 2],
    horizon: 3,
    ..MEMBER_CRASH
};

fn holds(name: &str, faults: Faults) {
    assert_eq!(faults.rules, Rules::default());
    let name = format!("groups, {name}, up to time {}", faults.horizon);
    must_hold(&name, &check(faults), |w| &w.last.0);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_through_drift() {
    holds("one unit of drift", DRIFT);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_when_the_moved_member_crashes() {
    holds("crash of the moved member", MEMBER_CRASH);
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one_when_anyone_crashes() {
    holds("crash of any agent", ANY_CRASH);
}

#[test]
fn each_rule_is_needed() {
    let table = [
        (
            "start_wait",
            Faults {
                rules: off(|r| r.start_wait = false),
                ..MEMBER_CRASH
            },
        ),
        (
            "early_clock",
            Faults {
                rules: off(|r| r.early_clock = false),
                ..DRIFT
            },
        ),
        (
            "exclusive_grant",
            Faults {
                rules: off(|r| r.exclusive_grant = false),
                ..DRIFT
            },
        ),
        (
            "epoch_fence",
            Faults {
                rules: off(|r| r.epoch_fence = false),
                ..DRIFT
            },
        ),
        (
            "all_present",
            Faults {
                rules: off(|r| r.all_present = false),
                ..DRIFT
            },
        ),
        ("margin for drift", Faults { margin: 0, ..DRIFT }),
    ];
    for (rule, faults) in table {
        must_break("groups", rule, check(faults).broken);
    }
}

#[test]
fn long_random_runs_break_nothing() {
    let faults = Faults {
        crashes: 4,
        fragile: &[0, 1, 2],
        drifts: 1,
        horizon: 40,
        ..DRIFT
    };
    walks(300, |seed| {
        let start = World::new(&faults);
        let fault = walk(start, |w| w.next(&faults), World::broken, seed, 250)?;
        Some(fault.0)
    });
}
