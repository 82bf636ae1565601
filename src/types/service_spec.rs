use std::sync::Arc;

use super::EngineSpec;

/// One service that routes lead to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServiceSpec {
    /// Name.
    pub name: Arc<str>,
    /// Most connections that one endpoint takes from all callers together.
    pub connections: u32,
    /// Its engine; absent for a plain service.
    pub engine: Option<EngineSpec>,
}
