//! Presence leases, epochs and moves: three instances, two groups, three epochs.
//!
//! The first record has group 1 at epoch 1 with members a (leader) and b. The
//! second moves b out: group 2 at epoch 2 is b alone, group 1 at epoch 3 is a
//! and c. Two routers send the orders that follow from either record at any
//! time. Messages are delayed without bound, overtake each other and are lost;
//! agents crash and start again with empty memory, are paused (not polled for
//! as long as it takes) and their clocks drift apart by up to the margin.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentKnobs, AgentState};
use runrail::logic::{step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, Rules};
use runrail::message::{Message, RunId, RunOrder};
use runrail::types::{
    GroupId, GroupRecord, GroupRole, InstanceId, Member, Millis, ModelKind, Phase, RequestId,
};

use crate::explore::explore;
use crate::hashed::{Hashed, Label};

const NAMES: [&str; 3] = ["a", "b", "c"];
const LEASE: Millis = 2;
/// Time up to which all is explored.
const HORIZON: Millis = 5;
/// Messages in flight at once; an older one is lost when one more is sent.
const IN_FLIGHT: usize = 2;

/// Which faults may come, and how often in one run.
#[derive(Clone, Copy)]
struct Faults {
    rules: Rules,
    margin: Millis,
    crashes: u8,
    drifts: u8,
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
    NAMES.iter().position(|n| *n == id.as_str()).expect("a known name")
}

fn record(number: u64, epoch: u64, members: &[usize]) -> GroupRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    GroupRecord {
        id: GroupId::new("d", number),
        epoch,
        members: members.iter().map(|m| Member { instance: id(*m), addr }).collect(),
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
fn records() -> [GroupRecord; 3] {
    [record(1, 1, &[0, 1]), record(2, 2, &[1]), record(1, 3, &[0, 2])]
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
        Self {
            time: 0,
            agents: agents.collect(),
            behind: [0; 3],
            network: Vec::new(),
            crashes: faults.crashes,
            drifts: faults.drifts,
            granted: Vec::new(),
            broken: None,
            last: Label("start".into()),
        }
    }

    fn clock(&self, i: usize) -> Millis {
        // One unit is added so that a clock that drifts never goes below zero.
        self.time - self.behind[i]
    }

    fn feed(&self, i: usize, event: Event, what: String) -> World {
        let mut next = self.clone();
        next.last = Label(what);
        let mut node = Node::Agent(Box::new(self.agents[i].clone_inner()));
        let ordered = match &event {
            Event::Message { message: Message::Run(order), .. } => Some(order.epoch),
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
                    let event = Event::Endpoint(EndpointEvent::Loaded { epoch: order.epoch, ok: true });
                    effects.extend(step(&mut node, self.clock(i), event));
                }
                Effect::Endpoint(EndpointCall::Start(order)) => {
                    next.hand_over(i, order.epoch, order.valid_until, ordered);
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
            self.granted.retain(|(m, e, _)| (*m, *e) != (i, grant.epoch));
            self.granted.push((i, grant.epoch, self.time));
            self.granted.sort_unstable();
        }
    }

    fn send(&mut self, from: usize, to: &InstanceId, message: Message) {
        // Routers are not modelled as nodes; what goes to them is dropped.
        let Some(to) = NAMES.iter().position(|n| *n == to.as_str()) else {
            return;
        };
        self.network.push(Letter {
            from,
            incarnation: self.agents[from].incarnation,
            to,
            message: Hashed::new(message),
        });
        if self.network.len() > IN_FLIGHT {
            self.network.remove(0);
        }
    }

    /// The endpoint takes an order; this is where the promises are judged.
    fn hand_over(&mut self, i: usize, epoch: u64, valid_until: Millis, ordered: Option<u64>) {
        if self.clock(i) >= valid_until {
            return;
        }
        let record = records().into_iter().find(|r| r.epoch == epoch).expect("a known epoch");
        if ordered.is_some_and(|o| o != epoch) {
            self.broken = Some(format!("a run ordered for epoch {ordered:?} ran under {epoch}"));
        }
        for member in &record.members {
            let m = index(&member.instance);
            let at = self.granted.iter().find(|(g, e, _)| (*g, *e) == (m, epoch));
            // A lease, one unit of drift: the longest that a grant may count.
            let fresh = at.is_some_and(|(_, _, at)| self.time < at + LEASE + 1);
            if !fresh {
                self.broken = Some(format!("group served at epoch {epoch} while {} was missing", NAMES[m]));
            }
        }
    }

    fn next(&self, faults: &Faults) -> Vec<World> {
        let mut all = Vec::new();
        self.pass_time(&mut all);
        self.deliver(&mut all);
        self.order(&mut all);
        for i in 0..3 {
            all.push(self.feed(i, Event::Tick, format!("{} is polled", NAMES[i])));
            self.crash(i, faults, &mut all);
        }
        all
    }

    fn pass_time(&self, all: &mut Vec<World>) {
        if self.time >= HORIZON {
            return;
        }
        let mut next = self.clone();
        next.time += 1;
        next.last = Label("time passes".into());
        for i in 0..3 {
            if self.drifts > 0 && next.time > 1 {
                let mut slow = next.clone();
                slow.behind[i] += 1;
                slow.drifts -= 1;
                slow.last = Label(format!("time passes, but not at {}", NAMES[i]));
                all.push(slow);
            }
        }
        all.push(next);
    }

    fn deliver(&self, all: &mut Vec<World>) {
        for n in 0..self.network.len() {
            let mut less = self.clone();
            let letter = less.network.remove(n);
            let (from, to) = (NAMES[letter.from], NAMES[letter.to]);
            let what = format!("{to} hears {:?} from {from}", &*letter.message);
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
        for (n, record) in records().into_iter().enumerate() {
            let leader = index(&record.leader().instance);
            let router = if n == 0 { "r1" } else { "r2" };
            let from = Peer {
                id: InstanceId::new(router),
                incarnation: 1,
                role: PeerRole::Router,
            };
            let run = Message::Run(Box::new(self.run(&record, leader)));
            let message = Message::Assign(Box::new(record));
            let what = format!("{router} assigns epoch {}", n + 1);
            let event = Event::Message { from: from.clone(), message };
            all.push(self.feed(leader, event, what));
            let what = format!("{router} sends a run for epoch {}", n + 1);
            all.push(self.feed(leader, Event::Message { from, message: run }, what));
        }
    }

    fn run(&self, record: &GroupRecord, leader: usize) -> RunOrder {
        RunOrder {
            run: RunId {
                request: RequestId { node: 1, number: record.epoch },
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
        if let Some(why) = &self.broken {
            return Some(why.clone());
        }
        let open: Vec<_> = (0..3)
            .filter(|i| self.agents[*i].open(self.clock(*i)))
            .filter_map(|i| self.agents[i].lead.as_ref())
            .collect();
        for (n, one) in open.iter().enumerate() {
            for other in &open[n + 1..] {
                let shared = one.record.members.iter().find(|m| other.record.has(&m.instance));
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
    explore(World::new(&faults), |w| w.next(&faults), World::broken)
}

fn all_rules() -> Faults {
    Faults {
        rules: Rules::default(),
        margin: 1,
        crashes: 1,
        drifts: 1,
    }
}

#[test]
fn no_instance_serves_in_two_groups_and_no_group_lacks_one() {
    let found = check(all_rules());
    println!("groups: {} states, space exhausted up to time {HORIZON}", found.explored);
    if let Some((why, path)) = &found.broken {
        let steps: Vec<_> = path.iter().map(|w| w.last.0.as_str()).collect();
        panic!("{why}:\n{}", steps.join("\n"));
    }
}
