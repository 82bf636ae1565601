use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use stakker::{actor, after, call, ret_nop, stop, ActorOwn, Stakker, CX};

use super::{Clock, HostEvent, Inspect};
use crate::endpoint::EndpointClient;
use crate::etcd::{KvClient, ListClient, Watcher};
use crate::logic::router::{AnswerPart, OperatorReply};
use crate::logic::{step, Effect, Event, Node, Note, NoteCode};
use crate::observe::{EventLog, Metrics};
use crate::types::RequestId;
use crate::wire::Net;

/// Most events handled before the time is looked at again.
const BATCH: usize = 256;

/// What an actor needs to carry out effects.
pub(super) struct Outside {
    pub clock: Clock,
    pub net: Net,
    pub platform: Option<Platform>,
    pub endpoint: Option<EndpointClient>,
    pub metrics: Metrics,
}

/// A router's ways to the platform.
pub(super) struct Platform {
    pub kv: KvClient,
    pub watcher: Watcher,
    pub list: ListClient,
}

/// The actor that owns a node's state.
struct NodeActor {
    node: Node,
    outside: Outside,
    log: EventLog,
    answers: HashMap<RequestId, Sender<AnswerPart>>,
    jobs: HashMap<u64, Sender<OperatorReply>>,
    next_job: u64,
}

/// Runs a node on a new thread until it exits.
pub(super) fn spawn(
    node: Node,
    outside: Outside,
    events: Receiver<HostEvent>,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("actor".into())
        .spawn(move || run(node, outside, &events))
}

fn run(node: Node, outside: Outside, events: &Receiver<HostEvent>) {
    let mut stakker = Stakker::new(Instant::now());
    let owner: ActorOwn<NodeActor> = actor!(stakker, NodeActor::init(node, outside), ret_nop!());
    stakker.run(Instant::now(), false);
    let longest = Duration::from_millis(Event::TICK_MS);
    while !owner.is_zombie() {
        let wait = stakker.next_wait_max(Instant::now(), longest, false);
        match events.recv_timeout(wait) {
            Ok(event) => {
                call!([owner], handle(event));
                for event in events.try_iter().take(BATCH) {
                    call!([owner], handle(event));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        stakker.run(Instant::now(), false);
    }
}

impl NodeActor {
    fn init(cx: CX![], node: Node, outside: Outside) -> Option<Self> {
        let mut actor = Self {
            node,
            outside,
            log: EventLog::default(),
            answers: HashMap::new(),
            jobs: HashMap::new(),
            next_job: 0,
        };
        actor.note(&Note::new(NoteCode::Started));
        actor.tick(cx);
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(Duration::from_millis(Event::TICK_MS), [cx], tick());
        self.step(cx, Event::Tick);
    }

    fn handle(&mut self, cx: CX![], event: HostEvent) {
        match event {
            HostEvent::Step(event) => {
                self.note_session(&event);
                self.step(cx, event);
            }
            HostEvent::Request { call, reply } => {
                self.answers.insert(call.id, reply);
                self.step(cx, Event::Request(call));
            }
            HostEvent::Operator { call, reply } => {
                self.next_job += 1;
                let job = self.next_job;
                self.jobs.insert(job, reply);
                self.step(cx, Event::Operator { job, call });
            }
            HostEvent::Inspect { what, reply } => {
                let answer = match what {
                    Inspect::Events(about) => serde_json::json!(self.log.about(&about)),
                    Inspect::Metrics => serde_json::json!(self.outside.metrics.rows()),
                };
                // Whoever asked may have given up waiting.
                let _ = reply.send(answer);
            }
            HostEvent::Refused { peer, why } => {
                let note = Note::new(NoteCode::SessionRefused)
                    .with("peer", peer)
                    .with("why", why);
                self.note(&note);
            }
            HostEvent::Halt => stop!(cx),
        }
    }

    fn note_session(&mut self, event: &Event) {
        let note = match event {
            Event::Up(peer) => Note::new(NoteCode::SessionUp)
                .with("peer", &peer.id)
                .with("incarnation", peer.incarnation),
            Event::Down(id) => Note::new(NoteCode::SessionDown).with("peer", id),
            Event::Stop => Note::new(NoteCode::Stopping),
            _ => return,
        };
        self.note(&note);
    }

    fn note(&mut self, note: &Note) {
        self.log.write(self.outside.clock.now(), note);
        self.outside
            .metrics
            .count(&format!("event.{}", note.code.number()));
    }

    fn step(&mut self, cx: CX![], event: Event) {
        let gone = match &event {
            Event::Gone(id) => Some(*id),
            _ => None,
        };
        let effects = step(&mut self.node, self.outside.clock.now(), event);
        if let Some(id) = gone {
            self.answers.remove(&id);
        }
        for effect in effects {
            self.carry_out(cx, effect);
        }
    }

    fn carry_out(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.outside.net.send(&to, message),
            Effect::Dial { to, addr } => self.outside.net.dial(&to, addr),
            Effect::Hangup(to) => self.outside.net.hangup(&to),
            Effect::Store { call, op } => {
                if let Some(platform) = &self.outside.platform {
                    platform.kv.call(call, op);
                }
            }
            Effect::Watch { from } => {
                if let Some(platform) = &self.outside.platform {
                    platform.watcher.start(from);
                }
            }
            Effect::FetchList => {
                if let Some(platform) = &self.outside.platform {
                    platform.list.fetch();
                }
            }
            Effect::Endpoint(call) => {
                if let Some(endpoint) = &self.outside.endpoint {
                    endpoint.call(call);
                }
            }
            Effect::Answer { request, part } => self.answer(request, part),
            Effect::Reply { job, reply } => {
                if let Some(sender) = self.jobs.remove(&job) {
                    // The operator may have given up waiting.
                    let _ = sender.send(reply);
                }
            }
            Effect::Note(note) => self.note(&note),
            Effect::Measure {
                metric,
                account,
                class,
                value,
            } => self.outside.metrics.record(metric, &account, &class, value),
            // Direct links have a host of their own, `crate::link`.
            Effect::Direct(_) => {}
            Effect::Exit => {
                self.note(&Note::new(NoteCode::Stopped));
                stop!(cx);
            }
        }
    }

    fn answer(&mut self, request: RequestId, part: AnswerPart) {
        let last = !matches!(part, AnswerPart::Piece(_));
        let sender = if last {
            self.answers.remove(&request)
        } else {
            self.answers.get(&request).cloned()
        };
        if let Some(sender) = sender {
            // A caller that has hung up is noticed where its answer is written.
            let _ = sender.send(part);
        }
    }
}
