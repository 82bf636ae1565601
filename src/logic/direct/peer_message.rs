use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::{EntryNews, ModelDemand, Sight};
use crate::types::InstanceId;

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
    /// The first caller has come to the sender; for the planner.
    Traffic,
    /// What the sender is asked for in a second, by model; for the planner.
    Demand(Vec<ModelDemand>),
    /// What the list shows of an endpoint that takes requests or no longer does;
    /// from the planner, which reads the list more often than others.
    Entry(EntryNews),
    /// What was seen.
    Seen {
        /// Number of the question.
        number: u64,
        /// What the sender can tell of the endpoint.
        sight: Sight,
    },
}
