use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::InstanceId;

/// One member of a group: an instance and the address of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// TCP address of the agent that runs on the instance.
    pub addr: SocketAddr,
}
