use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::types::{InstanceId, RequestId};

/// A claim as it stands in the key-value service.
///
/// It binds a request that may not be repeated to one incarnation of one
/// agent: nobody else may run it under this attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Grows each time the claim is bound anew.
    pub attempt: u32,
    /// Agent that may run it.
    pub agent: InstanceId,
    /// Where that agent listens.
    pub addr: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Hash of the request's content.
    pub content: ClaimKey,
    /// Request that wrote it; settles a lost answer.
    pub by: RequestId,
    /// Whether its writer has given it back: the attempt didn't run and never will.
    #[serde(default)]
    pub released: bool,
}
