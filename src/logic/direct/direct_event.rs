use std::net::SocketAddr;
use std::sync::Arc;

use super::{
    DirectRequest, HallChange, ListChange, ListSnapshot, OrderResult, PeerMessage, ProbeResult,
    RunPart,
};
use crate::types::{EndpointEntry, InstanceId, Millis, RequestRate, Routing, StorePosition};

/// An event for a router with direct links, beside ticks and replies of the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DirectEvent {
    /// A version of the routing was read from the store.
    Routing(Arc<Routing>),
    /// All data halls that operators evacuate.
    HallsRead {
        /// Position of the store when the reading began.
        at: StorePosition,
        /// The halls.
        halls: Vec<Arc<str>>,
    },
    /// Changes of the halls that operators evacuate, up to a position; there may be none.
    HallChanges {
        /// Position of the store up to which the changes reach.
        at: StorePosition,
        /// The changes in order.
        changes: Vec<HallChange>,
    },
    /// The store answers again after it was unreachable.
    StoreBack,
    /// The store's era was read for the first time, or has risen because the store was
    /// restored from a backup.
    StoreEra(u64),
    /// The routing came from another router, which may have read it some time ago.
    RoutingRelayed(Arc<Routing>),
    /// The store was asked for a new version of the routing. If there was one, its `Routing`
    /// event came before.
    RoutingRead,
    /// The routing was read by a call that began after `ReadRouting` asked for it. If there was
    /// a new version, its `Routing` event came before.
    RoutingChecked {
        /// Number of the reading, from `ReadRouting`.
        read_number: u64,
    },
    /// The complete endpoint list was read; endpoints that it lacks are gone.
    ListRead {
        /// Position of the store when the reading began.
        at: StorePosition,
        /// Every entry.
        entries: Vec<(InstanceId, EndpointEntry)>,
    },
    /// The changes of the list can't be followed any further.
    ListLost,
    /// Another router has answered a request for a snapshot of the list.
    ListFetched {
        /// That router.
        from: SocketAddr,
        /// The snapshot; none if it has none or can't be reached.
        snapshot: Option<Box<ListSnapshot>>,
    },
    /// Changes of the list up to a position; there may be none.
    ListChanges {
        /// Position of the store up to which the changes reach.
        at: StorePosition,
        /// The changes, in the order of their revisions.
        changes: Vec<ListChange>,
    },
    /// A caller has sent a request.
    Request(Box<DirectRequest>),
    /// A caller has closed its connection; names its request.
    CallerGone(u64),
    /// A part of an endpoint's answer to a run.
    RunPart {
        /// The run.
        run: u64,
        /// The part.
        part: RunPart,
    },
    /// An answer of an endpoint carries its rate limit, or says that there is none. Comes before
    /// the event for the answer itself.
    RateLimit {
        /// The endpoint.
        id: InstanceId,
        /// The run that it answers, if it is the answer to a run.
        run: Option<u64>,
        /// Requests a second that the endpoint takes from all routers.
        rate: Option<RequestRate>,
    },
    /// An answer of an endpoint says that it is cold.
    ColdNamed {
        /// The endpoint.
        id: InstanceId,
        /// How much longer, in milliseconds.
        ms: Millis,
    },
    /// An answer of an endpoint asks this router to send it nothing for a time. Comes before the event
    /// for the answer itself.
    HoldOff {
        /// The endpoint.
        id: InstanceId,
        /// The run that it has turned away, if it was a run.
        run: Option<u64>,
        /// The time, in milliseconds.
        ms: Millis,
    },
    /// An answer of this endpoint says that it is leaving. Comes before the event for the answer
    /// itself.
    LeavingNamed(InstanceId),
    /// The result of a probe.
    Probed {
        /// The endpoint.
        id: InstanceId,
        /// The result.
        result: ProbeResult,
    },
    /// A message from another router.
    PeerMessage {
        /// Its sender.
        from: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Queued orders are to be sent.
    SendOrders,
    /// An order to an endpoint has ended.
    OrderResult {
        /// Number of the order.
        order: u64,
        /// Its outcome.
        result: OrderResult,
    },
}
