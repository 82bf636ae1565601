use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::crashes::CrashReport;
use super::{Digest, ModelDemand, Sight};
use crate::types::{InstanceId, RequestRate};

/// What routers with direct links say to each other, one datagram each.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Look at an endpoint and tell what you see.
    Ask {
        /// Number of the question, echoed.
        number: u64,
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// An endpoint that had work for the sender is silent; for the planner.
    Silent {
        /// The endpoint.
        id: InstanceId,
    },
    /// The store, which was lost, answers the sender again.
    StoreBack,
    /// The first caller has come to the sender; for the planner.
    Traffic,
    /// What the sender and those behind it are asked for in a second; on the way to
    /// the planner.
    Demand {
        /// Routers that are counted, the sender included.
        routers: u64,
        /// Their demand by model.
        models: Vec<ModelDemand>,
    },
    /// What the planner has read, passed on by routers.
    Digest(Box<Digest>),
    /// An endpoint takes so many requests a second from all routers, or as many as come.
    Rate {
        /// The endpoint.
        id: InstanceId,
        /// The limit.
        rate: Option<RequestRate>,
    },
    /// Requests that endpoints have crashed under.
    Crashes(Vec<CrashReport>),
    /// What was seen.
    Seen {
        /// Number of the question.
        number: u64,
        /// What the sender can tell of the endpoint.
        sight: Sight,
    },
}
