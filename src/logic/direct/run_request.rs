use std::net::SocketAddr;
use std::sync::Arc;

use crate::types::{InstanceId, Millis};

/// One run of a request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunRequest {
    /// Number of the run, echoed with each part.
    pub run: u64,
    /// The request.
    pub request: u64,
    /// The endpoint.
    pub to: InstanceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Milliseconds that are left for it.
    pub wait_ms: Millis,
    /// Client account; absent on a route without keys.
    pub account: Option<Arc<str>>,
    /// Rank at the endpoint; 0 comes first.
    pub priority: u8,
    /// Event after which the stream goes on.
    pub last_event: Option<u64>,
    /// Whether the answer is wanted as a stream of events.
    pub stream: bool,
    /// Whether only a connection may be used that is sure to be open.
    pub careful: bool,
}
