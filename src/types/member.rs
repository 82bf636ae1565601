use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::InstanceId;

/// One member of a group: an instance and where its agent listens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// TCP address of the agent beside the instance's endpoint.
    pub addr: SocketAddr,
}
