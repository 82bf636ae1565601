use std::collections::HashMap;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use stakker::{actor, after, call, ret_nop, stop, ActorOwn, Stakker, CX};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::{Clock, HostEvent, Inspect};
use crate::endpoint::EndpointClient;
use crate::etcd::{KvClient, ListClient, Watcher};
use crate::intake::LimitCounts;
use crate::logic::router::{AnswerPart, OperatorReply};
use crate::logic::{step, Effect, Event, LogCode, LogEvent, Node};
use crate::observe::{EventLog, HistogramRow, Metrics};
use crate::types::RequestId;
use crate::wire::Net;

/// Most further events that are handled before the timers run again.
const MAX_BATCH: usize = 256;

/// Clients and other handles that an actor uses to carry out effects.
pub(super) struct Environment {
    pub clock: Clock,
    pub net: Net,
    pub platform: Option<Platform>,
    pub endpoint: Option<EndpointClient>,
    pub metrics: Metrics,
    /// How often clients met each limit.
    pub limits_met: Arc<LimitCounts>,
}

/// A router's clients of the platform.
pub(super) struct Platform {
    pub kv: KvClient,
    pub watcher: Watcher,
    pub list: ListClient,
}

/// The actor that owns a node's state.
struct NodeActor {
    node: Node,
    environment: Environment,
    log: EventLog,
    answers: HashMap<RequestId, UnboundedSender<AnswerPart>>,
    operator_replies: HashMap<u64, oneshot::Sender<OperatorReply>>,
    next_job: u64,
}

/// Runs a node on a new thread until it exits.
///
/// # Errors
/// Returns the error if the thread can't be started.
pub(super) fn spawn(
    node: Node,
    environment: Environment,
    events: Receiver<HostEvent>,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name("actor".into())
        .spawn(move || run(node, environment, &events))
}

fn run(node: Node, environment: Environment, events: &Receiver<HostEvent>) {
    let mut stakker = Stakker::new(Instant::now());
    let owner: ActorOwn<NodeActor> =
        actor!(stakker, NodeActor::init(node, environment), ret_nop!());
    stakker.run(Instant::now(), false);
    let max_wait = Duration::from_millis(Event::TICK_MS);
    while !owner.is_zombie() {
        let wait = stakker.next_wait_max(Instant::now(), max_wait, false);
        match events.recv_timeout(wait) {
            Ok(event) => {
                call!([owner], handle(event));
                for event in events.try_iter().take(MAX_BATCH) {
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
    fn init(cx: CX![], node: Node, environment: Environment) -> Option<Self> {
        let mut actor = Self {
            node,
            environment,
            log: EventLog::default(),
            answers: HashMap::new(),
            operator_replies: HashMap::new(),
            next_job: 0,
        };
        actor.log_event(&LogEvent::new(LogCode::Started));
        actor.tick(cx);
        Some(actor)
    }

    fn tick(&mut self, cx: CX![]) {
        after!(Duration::from_millis(Event::TICK_MS), [cx], tick());
        let counts = self.environment.limits_met.counts();
        self.environment.metrics.publish(&counts);
        self.step(cx, Event::Tick);
    }

    /// Rows of the histograms and counters, then of the limits that clients met, by limit and listener.
    fn metric_rows(&self) -> Vec<HistogramRow> {
        let mut rows = self.environment.metrics.rows();
        let counts = self.environment.limits_met.counts();
        rows.extend(counts.iter().map(HistogramRow::from));
        rows
    }

    fn handle(&mut self, cx: CX![], event: HostEvent) {
        match event {
            HostEvent::Step(event) => {
                self.log_session_event(&event);
                self.step(cx, event);
            }
            HostEvent::Request { call, reply } => {
                self.answers.insert(call.id, reply);
                self.step(cx, Event::Request(call));
            }
            HostEvent::Operator { call, reply } => {
                self.next_job += 1;
                let job = self.next_job;
                self.operator_replies.insert(job, reply);
                self.step(cx, Event::Operator { job, call });
            }
            HostEvent::Inspect { what, reply } => {
                let answer = match what {
                    Inspect::Events(about) => serde_json::json!(self.log.about(&about)),
                    Inspect::Metrics => serde_json::json!(self.metric_rows()),
                };
                // Fails only if the operator has stopped waiting.
                let _ = reply.send(answer);
            }
            HostEvent::SessionRefused { peer, reason } => {
                let event = LogEvent::new(LogCode::SessionRefused)
                    .with("peer", peer)
                    .with("why", reason);
                self.log_event(&event);
            }
            HostEvent::Halt => stop!(cx),
        }
    }

    fn log_session_event(&mut self, event: &Event) {
        let log_event = match event {
            Event::SessionOpened(peer) => LogEvent::new(LogCode::SessionUp)
                .with("peer", &peer.id)
                .with("incarnation", peer.incarnation),
            Event::SessionClosed(id) => LogEvent::new(LogCode::SessionDown).with("peer", id),
            Event::Stop => LogEvent::new(LogCode::Stopping),
            _ => return,
        };
        self.log_event(&log_event);
    }

    fn log_event(&mut self, event: &LogEvent) {
        self.log.write(self.environment.clock.now(), event);
        self.environment
            .metrics
            .count(&format!("event.{}", event.code.number()));
    }

    fn step(&mut self, cx: CX![], event: Event) {
        let gone = match &event {
            Event::CallerGone(id) => Some(*id),
            _ => None,
        };
        let effects = step(&mut self.node, self.environment.clock.now(), event);
        if let Some(id) = gone {
            self.answers.remove(&id);
        }
        for effect in effects {
            self.carry_out(cx, effect);
        }
    }

    fn carry_out(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send { to, message } => self.environment.net.send(&to, message),
            Effect::OpenSession { to, addr } => self.environment.net.dial(&to, addr),
            Effect::CloseSession(to) => self.environment.net.disconnect(&to),
            Effect::Store { call, op } => {
                if let Some(platform) = &self.environment.platform {
                    platform.kv.call(call, op);
                }
            }
            Effect::Watch { from } => {
                if let Some(platform) = &self.environment.platform {
                    platform.watcher.start(from);
                }
            }
            Effect::FetchInstances => {
                if let Some(platform) = &self.environment.platform {
                    platform.list.fetch();
                }
            }
            Effect::Endpoint(call) => {
                if let Some(endpoint) = &self.environment.endpoint {
                    endpoint.call(call);
                }
            }
            Effect::Answer { request, part } => self.send_answer(request, part),
            Effect::Reply { job, reply } => {
                if let Some(sender) = self.operator_replies.remove(&job) {
                    // Fails only if the operator has stopped waiting.
                    let _ = sender.send(reply);
                }
            }
            Effect::Log(event) => self.log_event(&event),
            Effect::RecordMetric {
                metric,
                account,
                class,
                value,
            } => self
                .environment
                .metrics
                .record(metric, &account, &class, value),
            // Only routers with direct links have these; their host is `crate::link`.
            Effect::Direct(_) => {}
            Effect::Exit => {
                self.log_event(&LogEvent::new(LogCode::Stopped));
                stop!(cx);
            }
        }
    }

    fn send_answer(&mut self, request: RequestId, part: AnswerPart) {
        let is_last = !matches!(part, AnswerPart::Piece(_));
        let sender = if is_last {
            self.answers.remove(&request)
        } else {
            self.answers.get(&request).cloned()
        };
        if let Some(sender) = sender {
            // Fails only for a caller that has disconnected, which its guard reports.
            let _ = sender.send(part);
        }
    }
}
