use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{InstanceId, InstanceState};

/// One row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub id: InstanceId,
    /// Data hall.
    pub hall: Arc<str>,
    /// Fabric domain; empty for an entry instance.
    pub domain: Arc<str>,
    /// Model engine, `service:<name>` or `router`.
    pub kind: Arc<str>,
    /// Live or leaving.
    pub state: InstanceState,
    /// Address of the process of this system on the instance.
    pub addr: SocketAddr,
}

impl Instance {
    /// Value of [`Instance::kind`] for an entry instance.
    pub const ROUTER: &'static str = "router";
    /// Value of [`Instance::kind`] for a model engine.
    pub const ENGINE: &'static str = "engine";

    /// Whether a router runs here.
    pub fn is_router(&self) -> bool {
        &*self.kind == Self::ROUTER
    }

    /// Whether new work may be planned for this instance.
    pub fn is_live(&self) -> bool {
        self.state == InstanceState::Live
    }
}
