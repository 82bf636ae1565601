use std::net::SocketAddr;

use crate::types::Millis;

/// Another router's question about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Asked {
    /// Where the answer goes.
    pub from: SocketAddr,
    /// Number of the question, echoed.
    pub number: u64,
    /// When it came.
    pub at: Millis,
}
