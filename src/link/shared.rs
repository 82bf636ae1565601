use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{response, Response};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::AbortHandle;

use super::answer_body::{AnswerBody, Piece};
use super::link_event::{CallerCall, LinkEvent};
use super::pool::Pool;
use super::store_gate::StoreGate;
use super::Dialect;
use crate::host::Clock;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::Event;
use crate::types::{CallerLimits, StorePosition};

/// Milliseconds of pause for each router and each reading call in a second.
const SPREAD_MS: u64 = 2_000;

/// The way of events to the actor.
pub(super) type Sink = Box<dyn Fn(LinkEvent)>;

/// What the tasks of a process share; all of them run on one thread.
pub(super) struct Shared {
    /// How the platform speaks.
    pub dialect: Dialect,
    /// Clock of the process.
    pub clock: Clock,
    /// Told when the machine was suspended, or the process held up.
    pub woken: Notify,
    /// Number of the last reading of the routing that was asked for.
    pub asked: Cell<u64>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Idle connections.
    pub pool: Pool,
    /// Callers that wait for an answer.
    pub callers: RefCell<HashMap<u64, Caller>>,
    /// Runs that haven't ended.
    pub runs: RefCell<HashMap<u64, RunSlot>>,
    /// What callers may send.
    pub limits: Cell<CallerLimits>,
    /// Routers of the fleet, this one included.
    pub routers: Cell<usize>,
    /// Reading calls that the store takes in a second from all routers; 0 where
    /// that isn't known.
    pub reads: u64,
    /// Lets calls to the store through.
    pub gate: StoreGate,
    /// Calls to the store by what they were for and what came of them.
    pub calls: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    /// Whether this router takes callers.
    pub ready: Cell<bool>,
    /// Whether it is about to stop.
    pub stopping: Cell<bool>,
    /// Whether no more connections are taken.
    pub closed: Cell<bool>,
    /// Told when no more connections are taken.
    pub stop: Notify,
    /// Told when the list is to be read whole.
    pub list_anew: Notify,
    /// How often changes of the list are read.
    pub list_pace: Cell<ListPace>,
    /// How often the store has come back from a copy; none before its first answer.
    pub era: Cell<Option<u64>>,
    /// Told when it has come back once more.
    pub restored: Notify,
    /// Position up to which the planner has told of the list.
    pub told_upto: Cell<StorePosition>,
    /// Whether the routing is left alone.
    pub hold_routing: Cell<bool>,
    /// Told when either of the two has changed.
    pub pace_changed: Notify,
    /// From which position the own keys are watched, and a call to begin.
    pub watch_own: (Cell<StorePosition>, Notify),
    /// Told when the reducer wants the process to end.
    pub exit: Notify,
    /// Held by every connection of a caller.
    pub open: Rc<()>,
    /// Socket for other routers.
    pub peers: RefCell<Option<Rc<UdpSocket>>>,
    /// Takes events to the actor.
    pub sink: RefCell<Option<Sink>>,
}

/// A caller that waits for an answer.
pub(super) struct Caller {
    /// Its request.
    pub call: Rc<CallerCall>,
    /// Takes the head of the answer.
    pub reply: Option<oneshot::Sender<Response<AnswerBody>>>,
    /// Takes pieces of a stream, once its head has gone out.
    pub pieces: Option<mpsc::UnboundedSender<Piece>>,
}

/// A run that hasn't ended.
pub(super) struct RunSlot {
    /// Ends its task and with that its connection.
    pub task: Option<AbortHandle>,
    /// Head of the answer, once there.
    pub head: Option<response::Parts>,
    /// Body of the answer, once it is there whole.
    pub body: Bytes,
}

impl Shared {
    /// Shortest pause between two readings of one watch, so that all routers
    /// together use at most half of what the store takes for each.
    pub fn spread(&self) -> Duration {
        let routers = self.routers.get() as u64;
        let ms = (routers * SPREAD_MS).checked_div(self.reads);
        Duration::from_millis(ms.unwrap_or(0))
    }

    /// The store has come back from a copy, or answers for the first time.
    pub fn enter_era(&self, era: u64) {
        self.era.set(Some(era));
        self.tell(DirectEvent::StoreEra(era));
        self.restored.notify_waiters();
        self.pace_changed.notify_waiters();
    }

    /// Whether the store is still in this era.
    pub fn is_era(&self, era: u64) -> bool {
        self.era.get().is_none_or(|now| now == era)
    }

    /// Ends once the store is in another era than this.
    pub async fn another_era(&self, era: u64) {
        loop {
            let restored = self.restored.notified();
            if !self.is_era(era) {
                return;
            }
            restored.await;
        }
    }

    /// The position of a revision in the answer that came last.
    pub fn position(&self, revision: i64) -> StorePosition {
        StorePosition {
            // An answer has come, so that the era is known.
            era: self.era.get().unwrap_or(0),
            revision,
        }
    }

    /// Hands an event to the actor.
    pub fn send(&self, event: LinkEvent) {
        if let Some(sink) = &*self.sink.borrow() {
            sink(event);
        }
    }

    /// Hands an event about direct links to the reducer.
    pub fn tell(&self, event: DirectEvent) {
        self.send(LinkEvent::Step(Event::Direct(event)));
    }
}
