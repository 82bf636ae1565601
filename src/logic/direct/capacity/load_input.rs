use super::{LoadDomain, LoadModel};

/// What loads are planned by.
#[derive(Clone, Debug, Default)]
pub struct LoadInput {
    /// The models of the service.
    pub models: Vec<LoadModel>,
    /// Its fabric domains.
    pub domains: Vec<LoadDomain>,
    /// Most loads to plan.
    pub max_loads: usize,
}
