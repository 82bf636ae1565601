use std::rc::Rc;

use http::Response;
use stakker::CX;

use super::answer_body::{AnswerBody, StreamPart};
use super::answer_room::FREE_BYTES;
use super::link_event::LinkEvent;
use super::shared::{Caller, ListSource, Shared};
use super::{endpoint_calls, peers, runs, snapshots, store};
use crate::host::{Clock, SuspensionDetector};
use crate::logic::direct::{is_refused_by_head, snapshot, DirectEffect, DirectEvent, Problem};
use crate::logic::{step, Effect, Event, LogCode, LogEvent, Node};
use crate::observe::{exposition, EventLog, LabelledCount, Metrics};
use crate::types::Millis;

/// The metrics counter of store calls with one use and outcome.
fn store_call_count((labels, count): (&(&'static str, &'static str), &u64)) -> LabelledCount {
    LabelledCount {
        name: "store_calls",
        labels: [("use", labels.0), ("outcome", labels.1)],
        count: *count,
    }
}

/// The metrics counter of calls with one use, on opened or on reused connections.
fn connection_count((labels, count): ((&'static str, &'static str), u64)) -> LabelledCount {
    LabelledCount {
        name: "connections",
        labels: [("use", labels.0), ("outcome", labels.1)],
        count,
    }
}

/// The actor that owns the state of a router with direct links.
pub(super) struct DirectActor {
    node: Node,
    shared: Rc<Shared>,
    clock: Clock,
    suspension: SuspensionDetector,
    log: EventLog,
    metrics: Metrics,
}

impl DirectActor {
    /// Creates the actor and logs the start of the process.
    pub fn init(_: CX![], node: Node, shared: Rc<Shared>, metrics: Metrics) -> Option<Self> {
        let clock = shared.clock;
        let mut actor = Self {
            node,
            shared,
            clock,
            suspension: SuspensionDetector::new(clock),
            log: EventLog::default(),
            metrics,
        };
        actor.log_event(&LogEvent::new(LogCode::Started));
        Some(actor)
    }

    /// Handles one event.
    pub fn handle(&mut self, _: CX![], event: LinkEvent) {
        if let Some(ms) = self.suspension.detect() {
            self.on_suspension(ms);
        }
        let event = match event {
            LinkEvent::Step(event) => event,
            LinkEvent::Request {
                call,
                received,
                reply,
            } => {
                let caller = Caller {
                    request: received,
                    reply: Some(reply),
                    stream: None,
                    kept: None,
                };
                self.shared.callers.borrow_mut().insert(call.id, caller);
                Event::Direct(DirectEvent::Request(call))
            }
            LinkEvent::Head { call, reply } => {
                let is_refused = match &self.node {
                    Node::Direct(state) => is_refused_by_head(state, &call),
                    _ => false,
                };
                // The caller may have disconnected.
                let _ = reply.send(is_refused);
                return;
            }
            LinkEvent::Snapshot(reply) => {
                let snapshot = match &self.node {
                    Node::Direct(state) => snapshot(state, self.clock.now()),
                    _ => None,
                };
                // The other router may have disconnected.
                let _ = reply.send(snapshot);
                return;
            }
            LinkEvent::Metrics(reply) => {
                // The scraper may have disconnected.
                let _ = reply.send(self.metrics_text());
                return;
            }
        };
        if matches!(event, Event::Stop) {
            self.log_event(&LogEvent::new(LogCode::Stopping));
            self.shared.stopping.set(true);
        }
        let mut next = Some(event);
        while let Some(event) = next.take() {
            for effect in step(&mut self.node, self.clock.now(), event) {
                match effect {
                    Effect::Direct(DirectEffect::SendOrders) => {
                        next = Some(Event::Direct(DirectEvent::SendOrders));
                    }
                    effect => self.carry_out(effect),
                }
            }
        }
        if let Node::Direct(state) = &self.node {
            self.shared.routers.set(state.peers.len() + 1);
        }
    }

    /// Handles a suspension of the machine for `ms` milliseconds: answers of calls in flight
    /// may be that old, and peers may have closed idle connections in the meantime.
    fn on_suspension(&mut self, ms: Millis) {
        self.log_event(&LogEvent::new(LogCode::Suspended).with("ms", ms));
        self.shared.pool.clear();
        self.restart_watches();
    }

    /// Makes the watches send their calls again, as the answers of pending calls may be old, and
    /// ends a hold of the routing's watch.
    fn restart_watches(&self) {
        self.shared.routing_held.set(false);
        self.shared.watch_restart.notify_waiters();
        self.shared.pace_changed.notify_waiters();
    }

    /// Histograms, gauges and counters of this router in the metrics text format.
    fn metrics_text(&self) -> String {
        let mut gauges = match &self.node {
            Node::Direct(state) => state.metrics(self.clock.now()),
            _ => Vec::new(),
        };
        let (names, occurrences) = self.shared.unknown.counts();
        gauges.extend([("unknown_names", names), ("unknown_seen", occurrences)]);
        gauges.push(("entries_refused", self.shared.refused.count()));
        let callers = &self.shared.callers_gate;
        gauges.push(("caller_connections", callers.connections() as u64));
        gauges.push(("request_bytes", callers.used_bytes() as u64));
        let mut counts: Vec<_> = self
            .shared
            .calls
            .borrow()
            .iter()
            .map(store_call_count)
            .collect();
        counts.extend(self.shared.pool.counts().into_iter().map(connection_count));
        counts.extend(self.shared.limits_met.counts());
        if let Node::Direct(state) = &self.node {
            counts.extend(state.plan.order_counts());
        }
        exposition(&self.metrics.rows(), &gauges, &counts)
    }

    fn log_event(&mut self, event: &LogEvent) {
        self.log.write(self.clock.now(), event);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Direct(effect) => self.carry_out_direct(effect),
            Effect::Store { call, op } => store::start(&self.shared, call, op),
            Effect::Watch { from } => {
                let (at, begin) = &self.shared.own_watch;
                at.set(self.shared.position(from - 1));
                begin.notify_one();
            }
            Effect::Log(event) => self.log_event(&event),
            Effect::RecordMetric {
                metric,
                account,
                class,
                value,
            } => self.metrics.record(metric, &account, &class, value),
            Effect::Exit => {
                self.log_event(&LogEvent::new(LogCode::Stopped));
                if let Node::Direct(state) = &self.node {
                    self.shared.exit_by.set(state.exit_by().unwrap_or(0));
                }
                self.shared.exit.notify_one();
            }
            _ => {}
        }
    }

    fn carry_out_direct(&mut self, effect: DirectEffect) {
        match effect {
            DirectEffect::Run(run) => {
                let received = self.received_request(run.request);
                if let Some(received) = received {
                    runs::start(&self.shared, *run, received);
                }
            }
            DirectEffect::Cancel(run) => runs::cancel(&self.shared, run),
            DirectEffect::PassHead { request, run } => self.forward_head(request, run),
            DirectEffect::PassAnswer { request, run } => self.forward_answer(request, run),
            DirectEffect::KeepAnswer { request, run } => self.keep_answer(request, run),
            DirectEffect::PassKeptAnswer(request) => self.forward_kept_answer(request),
            DirectEffect::PassEvent { request, bytes } => {
                self.forward_part(request, StreamPart::Bytes(bytes))
            }
            DirectEffect::EndStream(request) => {
                self.forward_part(request, StreamPart::End);
                self.shared.callers.borrow_mut().remove(&request);
            }
            DirectEffect::AbortStream(request) => {
                self.shared.callers.borrow_mut().remove(&request);
            }
            DirectEffect::Refuse { request, problem } => self.refuse(request, problem),
            // `handle` has replaced it by the next event.
            DirectEffect::SendOrders => {}
            DirectEffect::Probe { id, addr, fresh } => {
                endpoint_calls::send_probe(&self.shared, id, addr, fresh)
            }
            DirectEffect::Order {
                order,
                id,
                addr,
                body,
            } => endpoint_calls::send_order(&self.shared, order, id, addr, body),
            DirectEffect::SendMessage { to, message } => peers::send(&self.shared, to, &message),
            DirectEffect::RetryStore => self.shared.gate.retry_now(),
            DirectEffect::ReadRouting { read_number } => {
                self.shared.routing_reads.set(read_number);
                self.restart_watches();
            }
            DirectEffect::ReadList => self.shared.start_list(ListSource::Store),
            DirectEffect::FollowList { at } => self.shared.start_list(ListSource::Snapshot(at)),
            DirectEffect::FetchList { from } => snapshots::fetch_list(&self.shared, from),
            DirectEffect::SetReadPace {
                list,
                hold,
                upto,
                keys,
            } => {
                self.shared.known_upto.set(upto);
                self.shared.keys_source.set(keys);
                self.shared.list_pace.set(list);
                self.shared.routing_held.set(hold);
                self.shared.pace_changed.notify_waiters();
            }
            DirectEffect::StopAccepting => {
                self.shared.closed.set(true);
                self.shared.close_listener.notify_waiters();
            }
            DirectEffect::Ready(ready) => self.shared.ready.set(ready),
        }
    }

    fn received_request(&self, request: u64) -> Option<Rc<super::link_event::ReceivedRequest>> {
        let callers = self.shared.callers.borrow();
        callers.get(&request).map(|c| c.request.clone())
    }

    fn forward_part(&self, request: u64, part: StreamPart) {
        let callers = self.shared.callers.borrow();
        let stream = callers.get(&request).and_then(|c| c.stream.as_ref());
        if let Some(stream) = stream {
            stream.send(part);
        }
    }

    fn forward_head(&self, request: u64, run: u64) {
        let runs = self.shared.runs.borrow();
        let Some(head) = runs.get(&run).and_then(|r| r.head.as_ref()) else {
            return;
        };
        let head = (self.shared.adapter.build_head)(head);
        let (sender, body) = AnswerBody::stream();
        let mut callers = self.shared.callers.borrow_mut();
        if let Some(caller) = callers.get_mut(&request) {
            caller.stream = Some(sender);
            caller.kept = None;
            if let Some(reply) = caller.reply.take() {
                // Fails only for a caller that has disconnected; its guard reports that.
                let _ = reply.send(Response::from_parts(head, body));
            }
        }
    }

    fn forward_answer(&self, request: u64, run: u64) {
        if let Some(answer) = self.take_answer(run) {
            self.reply(request, answer);
        }
    }

    /// Keeps an answer, unless it takes room of other answers.
    fn keep_answer(&self, request: u64, run: u64) {
        let runs = self.shared.runs.borrow();
        let is_short = runs.get(&run).is_some_and(|r| r.body.len() <= FREE_BYTES);
        drop(runs);
        let mut callers = self.shared.callers.borrow_mut();
        if let Some(caller) = callers.get_mut(&request).filter(|_| is_short) {
            caller.kept = self.take_answer(run);
        }
    }

    /// Passes on the kept answer, or the router's own if none was short enough.
    fn forward_kept_answer(&self, request: u64) {
        let mut callers = self.shared.callers.borrow_mut();
        let kept = callers.get_mut(&request).and_then(|c| c.kept.take());
        drop(callers);
        match kept {
            Some(answer) => self.reply(request, answer),
            None => self.refuse(request, Problem::Unknown),
        }
    }

    /// The complete answer of a run, for its caller.
    fn take_answer(&self, run: u64) -> Option<Response<AnswerBody>> {
        let run = self.shared.runs.borrow_mut().remove(&run)?;
        let head = (self.shared.adapter.build_head)(&run.head?);
        let body = AnswerBody::Whole(Some(run.body));
        Some(Response::from_parts(head, body))
    }

    fn refuse(&self, request: u64, problem: Problem) {
        let response = (self.shared.adapter.build_problem)(problem);
        let whole = response.map(|bytes| AnswerBody::Whole(Some(bytes)));
        self.reply(request, whole);
    }

    fn reply(&self, request: u64, response: Response<AnswerBody>) {
        let caller = self.shared.callers.borrow_mut().remove(&request);
        if let Some(reply) = caller.and_then(|c| c.reply) {
            // Fails only for a caller that has disconnected; its guard reports that.
            let _ = reply.send(response);
        }
    }
}
