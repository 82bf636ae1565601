use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{InstanceId, InstanceState};

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub id: InstanceId,
    /// Data hall.
    pub hall: Arc<str>,
    /// Fabric domain; empty for an entry instance.
    pub domain: Arc<str>,
    /// What runs on the instance: `engine`, `service:<name>` or `router`.
    pub kind: Arc<str>,
    /// State in the platform's list.
    pub state: InstanceState,
    /// Address of the router or agent on the instance.
    pub addr: SocketAddr,
}

impl Instance {
    /// Value of [`Instance::kind`] for an entry instance.
    pub const ROUTER: &'static str = "router";
    /// Value of [`Instance::kind`] for a model engine.
    pub const ENGINE: &'static str = "engine";

    /// Whether a router runs on the instance.
    pub fn is_router(&self) -> bool {
        &*self.kind == Self::ROUTER
    }

    /// Whether groups may be planned on the instance.
    pub fn is_live(&self) -> bool {
        self.state == InstanceState::Live
    }
}
