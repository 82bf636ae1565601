//! An agent that leads an open group of one member, and requests for it.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::agent::{AgentParams, AgentState};
use runrail::logic::{
    step, Effect, EndpointCall, EndpointEvent, Event, Node, Peer, PeerRole, RunResult,
};
use runrail::message::{AttemptEnd, Message, RunId, RunOrder};
use runrail::types::{
    Brief, ClassSpec, GroupId, GroupRecord, GroupRole, InstanceId, Member, Millis, ModelKind,
    Phase, RequestId,
};

/// An agent under test, and its clock in milliseconds.
pub struct Agent {
    pub node: Node,
    pub now: Millis,
}

pub fn class(name: &str, priority: u8, reserved: u32, preempt: bool) -> ClassSpec {
    ClassSpec {
        name: Arc::from(name),
        priority,
        reserved,
        preempt,
        repeat: true,
        deadline_ms: 10_000,
    }
}

fn router() -> Peer {
    Peer {
        id: InstanceId::new("r1"),
        incarnation: 9,
        role: PeerRole::Router,
    }
}

fn record() -> GroupRecord {
    GroupRecord {
        id: GroupId::new("d", 1),
        epoch: 1,
        members: vec![Member {
            instance: InstanceId::new("x"),
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        }],
        model: Arc::from("m"),
        version: Arc::from("1"),
        kind: ModelKind::Service,
        role: GroupRole::Mixed,
        adapters: Vec::new(),
        load_ms: 1,
        phase: Phase::Serving,
    }
}

impl Agent {
    /// An agent with an open group and the classes `urgent`, for which a slot is reserved, and
    /// `drafting`, which can be paused.
    pub fn open(params: AgentParams) -> Self {
        let mut state = AgentState::new(InstanceId::new("x"), 1, 0, params);
        state.grants_from = 0;
        state.brief = Brief {
            number: 1,
            classes: vec![class("urgent", 0, 1, false), class("drafting", 5, 0, true)],
        };
        let mut agent = Self {
            node: Node::Agent(Box::new(state)),
            now: 1,
        };
        agent.feed(Event::SessionOpened(router()));
        agent.receive(Message::Assign(Box::new(record())));
        agent.feed(Event::Endpoint(EndpointEvent::Loaded {
            epoch: 1,
            ok: true,
        }));
        agent
    }

    pub fn feed(&mut self, event: Event) -> Vec<Effect> {
        step(&mut self.node, self.now, event)
    }

    pub fn receive(&mut self, message: Message) -> Vec<Effect> {
        self.feed(Event::Message {
            from: router(),
            message,
        })
    }

    /// Sends an order to run a request, and returns its effects.
    pub fn order(
        &mut self,
        number: u64,
        class: &str,
        change: impl FnOnce(&mut RunOrder),
    ) -> Vec<Effect> {
        let mut order = RunOrder {
            run: run(number),
            group: GroupId::new("d", 1),
            epoch: 1,
            incarnation: 1,
            bundle: 1,
            class: Arc::from(class),
            account: Arc::from("a"),
            share: 1,
            left_ms: 10_000,
            once: None,
            path: Arc::from("/"),
            body: Arc::from("{}"),
            offset: 0,
            prefix: String::new(),
        };
        change(&mut order);
        self.receive(Message::Run(Box::new(order)))
    }

    pub fn piece(&mut self, number: u64, text: &str) -> Vec<Effect> {
        let text = text.to_string();
        self.feed(Event::Endpoint(EndpointEvent::Piece {
            run: run(number),
            text,
        }))
    }

    pub fn end(&mut self, number: u64, result: RunResult) -> Vec<Effect> {
        self.feed(Event::Endpoint(EndpointEvent::Ended {
            run: run(number),
            result,
        }))
    }
}

pub fn run(number: u64) -> RunId {
    RunId {
        request: RequestId { node: 9, number },
        attempt: 1,
    }
}

/// Numbers of the requests that the endpoint is ordered to start, with their offsets.
pub fn started(effects: &[Effect]) -> Vec<(u64, u64)> {
    let start = |e: &Effect| match e {
        Effect::Endpoint(EndpointCall::Start(o)) => Some((o.run.request.number, o.offset)),
        _ => None,
    };
    effects.iter().filter_map(start).collect()
}

/// Numbers of the requests that the endpoint is ordered to stop.
pub fn stopped(effects: &[Effect]) -> Vec<u64> {
    let stop = |e: &Effect| match e {
        Effect::Endpoint(EndpointCall::Cancel { run, .. }) => Some(run.request.number),
        _ => None,
    };
    effects.iter().filter_map(stop).collect()
}

/// The ends of attempts that are reported to routers, with the numbers of their requests.
pub fn ends(effects: &[Effect]) -> Vec<(u64, AttemptEnd)> {
    let end = |e: &Effect| match e {
        Effect::Send {
            message: Message::End { run, end },
            ..
        } => Some((run.request.number, end.clone())),
        _ => None,
    };
    effects.iter().filter_map(end).collect()
}
