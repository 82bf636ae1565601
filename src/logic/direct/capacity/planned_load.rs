use super::LoadUse;
use crate::types::InstanceId;

/// A load from the weight store that should begin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// The endpoint.
    pub id: InstanceId,
    /// Index of the model.
    pub model: usize,
    /// Whether the endpoint itself is to hold it, as it holds none, and not only its host.
    pub hold: bool,
    /// Its use.
    pub purpose: LoadUse,
}
