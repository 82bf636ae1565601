use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{response, Response};
use tokio::net::UdpSocket;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;

use super::answer_body::{AnswerBody, StreamSender};
use super::answer_room::AnswerRoom;
use super::call_use::CallUse;
use super::link_event::{LinkEvent, ReceivedRequest};
use super::pool::Pool;
use super::refused_entries::RefusedEntries;
use super::store::PrefixEntries;
use super::store_gate::StoreGate;
use super::unknown_names::UnknownNames;
use super::PlatformAdapter;
use crate::host::Clock;
use crate::intake::{Gate, LimitCounts};
use crate::logic::direct::{DirectEvent, KeysSource, ListPace};
use crate::logic::Event;
use crate::types::{CallerLimits, Millis, StorePosition};

/// Pause of one router at a store that takes one read call a second from all routers.
const PAUSE_PER_ROUTER_MS: u64 = 2_000;

/// Passes events to the actor.
pub(super) type Sink = Box<dyn Fn(LinkEvent)>;

/// State that the tasks of a process share; all of them run on one thread.
pub(super) struct Shared {
    /// The platform adapter.
    pub adapter: PlatformAdapter,
    /// Clock of the process.
    pub clock: Clock,
    /// Notified when watches are to send their calls again, as pending answers may be old.
    pub watch_restart: Notify,
    /// Number of the last read of the routing that the reducer has requested.
    pub routing_reads: Cell<u64>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Idle connections.
    pub pool: Pool,
    /// Memory for answers of endpoints.
    pub endpoint_room: AnswerRoom,
    /// Memory for answers of the store and of other routers.
    pub store_room: AnswerRoom,
    /// Admits callers' connections and the bytes of their requests.
    pub callers_gate: Gate,
    /// Time after which a caller whose request found no memory may come back, in milliseconds.
    pub hold_ms: Millis,
    /// How often clients met each limit.
    pub limits_met: Arc<LimitCounts>,
    /// Callers that wait for an answer, by request.
    pub callers: RefCell<HashMap<u64, Caller>>,
    /// Runs that haven't ended, by number.
    pub runs: RefCell<HashMap<u64, ActiveRun>>,
    /// Limits on requests and connections of callers.
    pub limits: Cell<CallerLimits>,
    /// Number of routers of the fleet, this one included.
    pub routers: Cell<usize>,
    /// Read calls a second that the store takes from all routers together; 0 if not known.
    pub reads_per_s: u64,
    /// Delays calls to the store while it fails.
    pub gate: StoreGate,
    /// Number of calls to the store by use and outcome.
    pub calls: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    /// Names in endpoints' answers and in keys that this version doesn't know.
    pub unknown: UnknownNames,
    /// Entries of the endpoint list that can't be read.
    pub refused: RefusedEntries,
    /// Whether the balancer should send callers to this router.
    pub ready: Cell<bool>,
    /// Whether the router is shutting down.
    pub stopping: Cell<bool>,
    /// Whether the listener for callers is closed.
    pub closed: Cell<bool>,
    /// Notified when the listener for callers and its idle connections are to close.
    pub close_listener: Notify,
    /// Where the endpoint list is to be had from next, until its watch has taken that up.
    pub list_source: Cell<Option<ListSource>>,
    /// Notified when that is set.
    pub list_restart: Notify,
    /// How often changes of the endpoint list are read.
    pub list_pace: Cell<ListPace>,
    /// How often the store was restored from a backup; none before its first answer.
    pub era: Cell<Option<u64>>,
    /// Notified when the era has changed.
    pub era_changed: Notify,
    /// Position up to which the planner has sent the changes of the endpoint list that
    /// decisions depend on.
    pub known_upto: Cell<StorePosition>,
    /// Whether the routing isn't read, as the planner sends its changes.
    pub routing_held: Cell<bool>,
    /// The operators' keys as last read, for other routers.
    pub operator_keys: RefCell<Option<PrefixEntries>>,
    /// The router that is asked for newer ones next.
    pub keys_source: Cell<Option<KeysSource>>,
    /// Notified when the list pace, the hold of the routing or the era may have changed.
    pub pace_changed: Notify,
    /// Position after which the routers' own keys are watched, and the signal to begin.
    pub own_watch: (Cell<StorePosition>, Notify),
    /// Time until which callers may read their answers once the process is to end.
    pub exit_by: Cell<Millis>,
    /// Notified when the process is to end.
    pub exit: Notify,
    /// Cloned for every connection of a caller; the count shows how many are open.
    pub open_connections: Rc<()>,
    /// Socket for messages between routers.
    pub peers: RefCell<Option<Rc<UdpSocket>>>,
    /// Passes events to the actor; none before the actor exists.
    pub sink: RefCell<Option<Sink>>,
}

/// Where the endpoint list comes from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ListSource {
    /// The store: it is read in full, then followed.
    Store,
    /// A snapshot of another router: the store is followed from its position.
    Snapshot(StorePosition),
}

/// A caller that waits for an answer.
pub(super) struct Caller {
    /// The request as it was received.
    pub request: Rc<ReceivedRequest>,
    /// Receives the answer: its head, with the body or the stream that follows.
    pub reply: Option<oneshot::Sender<Response<AnswerBody>>>,
    /// Receives the parts of a stream, once its head has been passed on.
    pub stream: Option<StreamSender>,
    /// A failure of an endpoint, which is the answer if no other endpoint gives one.
    pub kept: Option<Response<AnswerBody>>,
}

/// A run that hasn't ended.
pub(super) struct ActiveRun {
    /// Aborts the task of the run, which closes its connection.
    pub task: Option<AbortHandle>,
    /// Head of the answer, once received.
    pub head: Option<response::Parts>,
    /// Body of an answer that isn't streamed, once received in full.
    pub body: Bytes,
}

impl Shared {
    /// Memory for the answers to calls of one use.
    pub fn room(&self, call_use: CallUse) -> &AnswerRoom {
        match call_use {
            CallUse::Run | CallUse::Probe | CallUse::Order => &self.endpoint_room,
            CallUse::Store | CallUse::Router => &self.store_room,
        }
    }

    /// Shortest pause between two calls of one watch, so that each watch uses at most half of
    /// the store's read rate, all routers together.
    pub fn min_pause(&self) -> Duration {
        let routers = self.routers.get() as u64;
        let ms = (routers * PAUSE_PER_ROUTER_MS).checked_div(self.reads_per_s);
        Duration::from_millis(ms.unwrap_or(0))
    }

    /// Makes the watch of the endpoint list begin, or begin again, with a source.
    pub fn start_list(&self, source: ListSource) {
        self.list_source.set(Some(source));
        self.list_restart.notify_one();
    }

    /// Sets the era: the store was restored from a backup, or has answered for the first time.
    pub fn enter_era(&self, era: u64) {
        self.era.set(Some(era));
        self.send_direct(DirectEvent::StoreEra(era));
        self.era_changed.notify_waiters();
        self.pace_changed.notify_waiters();
    }

    /// Whether the store is still in this era, or hasn't answered yet.
    pub fn is_current_era(&self, era: u64) -> bool {
        self.era.get().is_none_or(|now| now == era)
    }

    /// Waits until the store is in another era than this.
    pub async fn wait_era_end(&self, era: u64) {
        loop {
            let changed = self.era_changed.notified();
            if !self.is_current_era(era) {
                return;
            }
            changed.await;
        }
    }

    /// Position of a revision from the latest answer, in the current era.
    pub fn position(&self, revision: i64) -> StorePosition {
        StorePosition {
            // The era is known once an answer was received.
            era: self.era.get().unwrap_or(0),
            revision,
        }
    }

    /// Passes an event to the actor.
    pub fn send(&self, event: LinkEvent) {
        if let Some(sink) = &*self.sink.borrow() {
            sink(event);
        }
    }

    /// Passes an event of the direct links to the reducer.
    pub fn send_direct(&self, event: DirectEvent) {
        self.send(LinkEvent::Step(Event::Direct(event)));
    }
}
