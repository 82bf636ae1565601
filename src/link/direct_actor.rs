use std::rc::Rc;

use http::Response;
use stakker::CX;
use tokio::sync::mpsc;

use super::answer_body::{AnswerBody, LeftGuard, Piece};
use super::link_event::LinkEvent;
use super::shared::{Caller, Shared};
use super::{looks, peers, runs, store};
use crate::host::{Clock, Suspension};
use crate::logic::direct::{DirectEffect, DirectEvent, Problem};
use crate::logic::{step, Effect, Event, Node, Note, NoteCode};
use crate::observe::{exposition, EventLog, LabelledCount, Metrics};
use crate::types::Millis;

/// Calls to the store of one kind, for the metrics.
fn store_count((labels, count): (&(&'static str, &'static str), &u64)) -> LabelledCount {
    LabelledCount {
        name: "store_calls",
        labels: [("use", labels.0), ("outcome", labels.1)],
        count: *count,
    }
}

/// The actor that owns the state of a router with direct links.
pub(super) struct DirectActor {
    node: Node,
    shared: Rc<Shared>,
    clock: Clock,
    suspension: Suspension,
    log: EventLog,
    metrics: Metrics,
}

impl DirectActor {
    /// The actor in its first state.
    pub fn init(_: CX![], node: Node, shared: Rc<Shared>, metrics: Metrics) -> Option<Self> {
        let clock = shared.clock;
        let mut actor = Self {
            node,
            shared,
            clock,
            suspension: Suspension::of(clock),
            log: EventLog::default(),
            metrics,
        };
        actor.note(&Note::new(NoteCode::Started));
        Some(actor)
    }

    /// Handles one event.
    pub fn handle(&mut self, _: CX![], event: LinkEvent) {
        if let Some(ms) = self.suspension.passed() {
            self.woken(ms);
        }
        let event = match event {
            LinkEvent::Step(event) => event,
            LinkEvent::Request { call, whole, reply } => {
                let caller = Caller {
                    call: whole,
                    reply: Some(reply),
                    pieces: None,
                };
                self.shared.callers.borrow_mut().insert(call.id, caller);
                Event::Direct(DirectEvent::Request(call))
            }
            LinkEvent::Figures(reply) => {
                // Who asked may have left.
                let _ = reply.send(self.figures());
                return;
            }
        };
        if matches!(event, Event::Stop) {
            self.note(&Note::new(NoteCode::Stopping));
            self.shared.stopping.set(true);
        }
        for effect in step(&mut self.node, self.clock.now(), event) {
            self.carry_out(effect);
        }
        if let Node::Direct(state) = &self.node {
            self.shared.routers.set(state.peers.len() + 1);
        }
    }

    /// The machine was suspended: what calls that are under way would tell may be as old,
    /// and the other ends of idle connections may be gone.
    fn woken(&mut self, ms: Millis) {
        self.note(&Note::new(NoteCode::Suspended).with("ms", ms));
        self.shared.pool.clear();
        self.ask_anew();
    }

    /// Has watches asked anew: what those that wait would tell may be old.
    fn ask_anew(&self) {
        self.shared.hold_routing.set(false);
        self.shared.woken.notify_waiters();
        self.shared.pace_changed.notify_waiters();
    }

    /// Histograms, counters and what this router knows, as text.
    fn figures(&self) -> String {
        let figures = match &self.node {
            Node::Direct(state) => state.figures(self.clock.now()),
            _ => Vec::new(),
        };
        let mut counts: Vec<_> = self.shared.calls.borrow().iter().map(store_count).collect();
        if let Node::Direct(state) = &self.node {
            counts.extend(state.plan.order_counts());
        }
        exposition(&self.metrics.rows(), &figures, &counts)
    }

    fn note(&mut self, note: &Note) {
        self.log.write(self.clock.now(), note);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Direct(effect) => self.direct(effect),
            Effect::Store { call, op } => store::start(&self.shared, call, op),
            Effect::Watch { from } => {
                let (at, begin) = &self.shared.watch_own;
                at.set(self.shared.position(from - 1));
                begin.notify_one();
            }
            Effect::Note(note) => self.note(&note),
            Effect::Measure {
                metric,
                account,
                class,
                value,
            } => self.metrics.record(metric, &account, &class, value),
            Effect::Exit => {
                self.note(&Note::new(NoteCode::Stopped));
                self.shared.exit.notify_one();
            }
            _ => {}
        }
    }

    fn direct(&mut self, effect: DirectEffect) {
        match effect {
            DirectEffect::Run(run) => {
                let call = self.call(run.request);
                if let Some(call) = call {
                    runs::start(&self.shared, *run, call);
                }
            }
            DirectEffect::Cancel(run) => runs::cancel(&self.shared, run),
            DirectEffect::PassHead { request, run } => self.pass_head(request, run),
            DirectEffect::PassWhole { request, run } => self.pass_whole(request, run),
            DirectEffect::Piece { request, bytes } => self.piece(request, Piece::Bytes(bytes)),
            DirectEffect::Finish(request) => {
                self.piece(request, Piece::End);
                self.shared.callers.borrow_mut().remove(&request);
            }
            DirectEffect::Cut(request) => {
                self.shared.callers.borrow_mut().remove(&request);
            }
            DirectEffect::Refuse { request, problem } => self.refuse(request, problem),
            DirectEffect::Look { id, addr } => looks::look(&self.shared, id, addr),
            DirectEffect::Order {
                order,
                id,
                addr,
                body,
            } => looks::order(&self.shared, order, id, addr, body),
            DirectEffect::Tell { to, message } => peers::tell(&self.shared, to, &message),
            DirectEffect::TryStore => self.shared.gate.hint(),
            DirectEffect::ReadRouting { asked } => {
                self.shared.asked.set(asked);
                self.ask_anew();
            }
            DirectEffect::ReadList => self.shared.list_anew.notify_one(),
            DirectEffect::Read { list, hold, upto } => {
                self.shared.told_upto.set(upto);
                self.shared.list_pace.set(list);
                self.shared.hold_routing.set(hold);
                self.shared.pace_changed.notify_waiters();
            }
            DirectEffect::CloseDoors => {
                self.shared.closed.set(true);
                self.shared.stop.notify_waiters();
            }
            DirectEffect::Ready(ready) => self.shared.ready.set(ready),
        }
    }

    fn call(&self, request: u64) -> Option<Rc<super::link_event::CallerCall>> {
        let callers = self.shared.callers.borrow();
        callers.get(&request).map(|c| c.call.clone())
    }

    fn piece(&self, request: u64, piece: Piece) {
        let callers = self.shared.callers.borrow();
        let pieces = callers.get(&request).and_then(|c| c.pieces.as_ref());
        if let Some(pieces) = pieces {
            // A caller that has left is noticed where its answer is written.
            let _ = pieces.send(piece);
        }
    }

    fn pass_head(&self, request: u64, run: u64) {
        let runs = self.shared.runs.borrow();
        let Some(head) = runs.get(&run).and_then(|r| r.head.as_ref()) else {
            return;
        };
        let head = (self.shared.dialect.head)(head);
        let (sender, pieces) = mpsc::unbounded_channel();
        let body = AnswerBody::Pieces {
            pieces,
            guard: LeftGuard::new(|| {}),
            ended: false,
        };
        let mut callers = self.shared.callers.borrow_mut();
        if let Some(caller) = callers.get_mut(&request) {
            caller.pieces = Some(sender);
            if let Some(reply) = caller.reply.take() {
                // A caller that has left is noticed by its guard.
                let _ = reply.send(Response::from_parts(head, body));
            }
        }
    }

    fn pass_whole(&self, request: u64, run: u64) {
        let found = self.shared.runs.borrow_mut().remove(&run);
        let Some((head, body)) = found.and_then(|r| Some((r.head?, r.body))) else {
            return;
        };
        let head = (self.shared.dialect.head)(&head);
        self.reply(
            request,
            Response::from_parts(head, AnswerBody::Whole(Some(body))),
        );
    }

    fn refuse(&self, request: u64, problem: Problem) {
        let response = (self.shared.dialect.problem)(problem);
        let whole = response.map(|bytes| AnswerBody::Whole(Some(bytes)));
        self.reply(request, whole);
    }

    fn reply(&self, request: u64, response: Response<AnswerBody>) {
        let caller = self.shared.callers.borrow_mut().remove(&request);
        if let Some(reply) = caller.and_then(|c| c.reply) {
            // A caller that has left is noticed by its guard.
            let _ = reply.send(response);
        }
    }
}
