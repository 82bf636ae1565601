use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::types::{InstanceId, RequestId};

/// A claim as it is stored in the key-value service.
///
/// It binds a request that may not be repeated to one incarnation of one agent: no other
/// agent or incarnation may run this attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Attempt number; increases each time the claim is bound to an agent.
    pub attempt: u32,
    /// Agent that may run the attempt.
    pub agent: InstanceId,
    /// Address of that agent.
    pub addr: SocketAddr,
    /// Incarnation of that agent.
    pub incarnation: u64,
    /// Hash of the request's content.
    pub content: ClaimKey,
    /// Request that wrote the claim; a router whose write got no answer recognizes its own
    /// claim by it.
    pub by: RequestId,
    /// Whether the writer has released the claim: the attempt did not run and never will.
    #[serde(default)]
    pub released: bool,
}
