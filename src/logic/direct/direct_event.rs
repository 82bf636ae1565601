use std::net::SocketAddr;
use std::sync::Arc;

use super::{DirectRequest, LookResult, OrderResult, PeerMessage, RunPart};
use crate::types::{EndpointEntry, InstanceId, RequestRate, Routing, StorePosition};

/// What a router with direct links reacts to, beside time and the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DirectEvent {
    /// A version of the routing has been read.
    Routing(Arc<Routing>),
    /// The store answers again after it was lost.
    StoreBack,
    /// The store's era has been read for the first time, or has risen: it has come back
    /// from an older copy.
    StoreEra(u64),
    /// The store was asked for a new version of the routing; any there was has been
    /// told before.
    RoutingRead,
    /// The routing was read by a call that began after this reading was asked for; any new
    /// version has been told before.
    RoutingChecked {
        /// Number of the reading.
        asked: u64,
    },
    /// The list of endpoints was read whole; what isn't named is gone.
    List {
        /// The store's position when the reading began.
        at: StorePosition,
        /// Every entry.
        entries: Vec<(InstanceId, EndpointEntry)>,
    },
    /// Entries of the list have changed; an absent entry is gone. There may be
    /// none, up to this revision.
    Changes {
        /// The store's position that the changes go up to.
        at: StorePosition,
        /// What has changed, in order.
        changes: Vec<(InstanceId, Option<EndpointEntry>)>,
    },
    /// A caller has sent a request.
    Request(Box<DirectRequest>),
    /// A caller has hung up.
    Gone(u64),
    /// Part of an endpoint's answer to a run.
    Part {
        /// Which run.
        run: u64,
        /// The part.
        part: RunPart,
    },
    /// An answer of an endpoint names how many requests a second it takes from all
    /// routers, or that it takes as many as come. Comes before what the answer says.
    Rated {
        /// Which endpoint.
        id: InstanceId,
        /// The run that it answers, where it is one.
        run: Option<u64>,
        /// The limit.
        rate: Option<RequestRate>,
    },
    /// An endpoint was looked at.
    Looked {
        /// Which endpoint.
        id: InstanceId,
        /// What was seen.
        result: LookResult,
    },
    /// Another router has said something.
    Peer {
        /// Where from.
        from: SocketAddr,
        /// What it said.
        message: PeerMessage,
    },
    /// An order to an endpoint has ended.
    Ordered {
        /// Which order.
        order: u64,
        /// What came of it.
        result: OrderResult,
    },
}
