use std::collections::BTreeMap;

use super::{LoadSource, ReadyCounts};
use crate::types::InstanceId;

/// A fabric domain for which loads are planned.
#[derive(Clone, Debug, Default)]
pub struct LoadDomain {
    /// Endpoints that are ready, by model.
    pub ready: Vec<ReadyCounts>,
    /// Number of free endpoints.
    pub free: usize,
    /// Endpoints that can load a model, by what they are.
    pub sources: BTreeMap<LoadSource, Vec<InstanceId>>,
}
