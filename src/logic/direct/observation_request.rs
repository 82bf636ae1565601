use std::net::SocketAddr;

use crate::types::Millis;

/// Another router's probe request, which asks for an observation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ObservationRequest {
    /// Address that the answer goes to.
    pub from: SocketAddr,
    /// Number of the request, returned with the answer.
    pub number: u64,
    /// Time of its arrival.
    pub at: Millis,
}
