use std::sync::Arc;

use super::EngineSpec;

/// One service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections that one endpoint accepts in total.
    pub connections: u32,
    /// Parameters of its engines; absent for a plain service.
    pub engine: Option<EngineSpec>,
}
