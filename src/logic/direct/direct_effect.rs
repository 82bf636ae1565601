use std::net::SocketAddr;

use bytes::Bytes;

use super::{GroupOrder, KeysSource, ListPace, PeerMessage, Problem, RunRequest};
use crate::types::{InstanceId, StorePosition};

/// An action that the host of a router with direct links has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DirectEffect {
    /// Send a request to an endpoint.
    Run(Box<RunRequest>),
    /// Close the connection of a run, whose answer is no longer needed.
    Cancel(u64),
    /// Forward the response head of a run's stream to the caller.
    PassHead {
        /// The request.
        request: u64,
        /// The run.
        run: u64,
    },
    /// Forward a run's complete answer to the caller.
    PassAnswer {
        /// The request.
        request: u64,
        /// The run.
        run: u64,
    },
    /// Keep a run's complete answer, which is a failure, until the request has another answer.
    KeepAnswer {
        /// The request.
        request: u64,
        /// The run.
        run: u64,
    },
    /// Forward the kept answer of a request to the caller.
    PassKeptAnswer(u64),
    /// Forward events of a stream to the caller.
    PassEvent {
        /// The request.
        request: u64,
        /// Complete events, as the endpoint sent them.
        bytes: Bytes,
    },
    /// End the caller's stream: it is complete.
    EndStream(u64),
    /// Abort the caller's stream, which is not complete.
    AbortStream(u64),
    /// Send the caller an error response of the router's own.
    Refuse {
        /// The request.
        request: u64,
        /// The reason.
        problem: Problem,
    },
    /// Probe an endpoint: ask it for its report.
    Probe {
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
        /// Whether to open a connection for it: open ones may have fallen silent.
        fresh: bool,
    },
    /// Handle `DirectEvent::SendOrders` next, with the time of that moment.
    SendOrders,
    /// Send an order to an endpoint.
    Order {
        /// Number of the order, echoed with its outcome.
        order: u64,
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
        /// The order.
        body: GroupOrder,
    },
    /// Send a message to another router, which may be lost.
    SendMessage {
        /// Where that router listens.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Read the routing now, even while reading it is suspended.
    ReadRouting {
        /// Number of the reading, echoed with its end.
        read_number: u64,
    },
    /// Read the complete endpoint list: at the start, or as its changes lag behind.
    ReadList,
    /// Ask another router for a snapshot of the endpoint list.
    FetchList {
        /// Where that router listens.
        from: SocketAddr,
    },
    /// Read changes of the endpoint list after a position, without a complete reading before.
    FollowList {
        /// The position.
        at: StorePosition,
    },
    /// If the store is unreachable, try it again now: it has answered another router.
    RetryStore,
    /// Change how the store is read from now on.
    SetReadPace {
        /// How often changes of the list are read.
        list: ListPace,
        /// Whether reading the routing is suspended, as digests tell of a new version.
        hold: bool,
        /// Position of the list up to which all changes that affect where requests go are known.
        /// After a pause with `ListPace::Paused`, reading goes on from there.
        upto: StorePosition,
        /// The router that is asked for the operators' keys first, as a digest told of newer ones.
        keys: Option<KeysSource>,
    },
    /// Stop accepting callers' connections and close idle ones.
    StopAccepting,
    /// Report to the balancer whether this router is ready for callers.
    Ready(bool),
}
