use std::sync::Arc;

use super::{EngineSpec, RequestRate};

/// One service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that one endpoint accepts in total.
    pub connections: u32,
    /// Requests a second that an endpoint bears while it is cold; absent if it is never cold.
    pub cold_rate: Option<RequestRate>,
    /// Parameters of its engines; absent for a plain service.
    pub engine: Option<EngineSpec>,
}
