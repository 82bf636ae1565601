use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::capacity::ModelTrend;
use super::crashes::CrashReport;
use super::{AccountUse, Digest, Fingerprint, ModelDemand, Observation};
use crate::types::{InstanceId, RequestRate};

/// Messages between routers with direct links, each in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks the receiver to probe an endpoint and to send its observation.
    Ask {
        /// Number of the request, echoed in the reply.
        number: u64,
        /// The endpoint.
        id: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
    },
    /// An endpoint that works for the sender has sent nothing for a while and is suspected of being
    /// lost. Sent to the planner.
    Silent {
        /// The endpoint.
        id: InstanceId,
    },
    /// The store answers the sender again after it was unreachable.
    StoreBack,
    /// The sender has got its first caller. Sent to the planner.
    Traffic,
    /// Demand a second of the routers in the sender's subtree. Sent to its parent in the tree.
    Demand {
        /// Number of routers counted, the sender included.
        routers: u64,
        /// Their demand by model.
        models: Vec<ModelDemand>,
        /// What the largest client accounts have used through them.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        accounts: Vec<AccountUse>,
        /// How it has changed by model, for the part `capacity`.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        trends: Vec<ModelTrend>,
    },
    /// The planner's digest, which routers forward along the trees.
    Digest(Box<Digest>),
    /// Requests a second that an endpoint takes from all routers.
    Rate {
        /// The endpoint.
        id: InstanceId,
        /// The limit; none if the endpoint sets none.
        rate: Option<RequestRate>,
    },
    /// The process of an endpoint has announced to the sender that it is leaving. Sent to the planner.
    Leaving {
        /// The endpoint.
        id: InstanceId,
        /// When the process started, in Unix milliseconds; absent if the platform doesn't tell.
        born: Option<u64>,
    },
    /// Requests during which endpoints have crashed.
    Crashes(Vec<CrashReport>),
    /// The sender has a request with these causes of crashes, which are held. Sent to the planner.
    TrialAsked(Vec<Fingerprint>),
    /// The receiver may try one request with these causes. Sent by the planner.
    TrialGranted(Vec<Fingerprint>),
    /// The observation that was asked for.
    Seen {
        /// Number of the request.
        number: u64,
        /// The sender's observation of the endpoint.
        sight: Observation,
    },
}
