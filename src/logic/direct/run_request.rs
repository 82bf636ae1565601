use std::net::SocketAddr;
use std::sync::Arc;

use crate::types::{InstanceId, Millis};

/// One run of a request at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RunRequest {
    /// Number of the run, returned with each part of the answer.
    pub run: u64,
    /// Number of the request.
    pub request: u64,
    /// The endpoint.
    pub to: InstanceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Time left until the request's deadline, in milliseconds.
    pub wait_ms: Millis,
    /// Client account; absent on a route without keys.
    pub account: Option<Arc<str>>,
    /// Priority at the endpoint; 0 is served first.
    pub priority: u8,
    /// Id of the stream event after which the answer continues.
    pub last_event: Option<u64>,
    /// Whether the answer is wanted as a stream of events.
    pub stream: bool,
    /// Whether to use no pooled connection that the endpoint may be closing, as the request
    /// can't be repeated.
    pub avoid_stale: bool,
    /// Time after which it is no longer written to a connection.
    pub send_by: Millis,
}
