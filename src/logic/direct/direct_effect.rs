use std::net::SocketAddr;

use bytes::Bytes;

use super::{GroupOrder, ListPace, PeerMessage, Problem, RunRequest};
use crate::types::{InstanceId, StorePosition};

/// What the host of a router with direct links has to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum DirectEffect {
    /// Send a request to an endpoint.
    Run(Box<RunRequest>),
    /// Close the connection of a run; its answer is no longer wanted.
    Cancel(u64),
    /// Give the caller the head of a run's stream.
    PassHead {
        /// The request.
        request: u64,
        /// The run.
        run: u64,
    },
    /// Give the caller a run's answer, which has arrived whole.
    PassWhole {
        /// The request.
        request: u64,
        /// The run.
        run: u64,
    },
    /// Give the caller events of a stream.
    Piece {
        /// The request.
        request: u64,
        /// Whole events, as the endpoint sent them.
        bytes: Bytes,
    },
    /// End the caller's stream: it is complete.
    Finish(u64),
    /// Break the caller's stream off: it is not complete.
    Cut(u64),
    /// Give the caller a final answer of the router's own.
    Refuse {
        /// The request.
        request: u64,
        /// Why.
        problem: Problem,
    },
    /// Ask an endpoint for its report.
    Look {
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// Give an endpoint an order.
    Order {
        /// Number echoed with the outcome.
        order: u64,
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
        /// The order.
        body: GroupOrder,
    },
    /// Say something to another router; it may be lost.
    Tell {
        /// Where that router listens.
        to: SocketAddr,
        /// What is said.
        message: PeerMessage,
    },
    /// Read the routing now, whatever holds that back; the number is echoed.
    ReadRouting {
        /// Number of the reading.
        asked: u64,
    },
    /// Read the list whole: its changes lag.
    ReadList,
    /// Try the store again, where it is lost: it has come back to another router.
    TryStore,
    /// How the store is read from now on.
    Read {
        /// How often the list's changes are read.
        list: ListPace,
        /// Whether the routing is left alone, as the planner tells of a new one.
        hold: bool,
        /// Position of the list up to which the planner has told what decides: where
        /// reading was left to it, it goes on from there.
        upto: StorePosition,
    },
    /// Take no more connections, and close those that rest.
    CloseDoors,
    /// Tell the balancer whether to send callers here.
    Ready(bool),
}
