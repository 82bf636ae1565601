use crate::types::{EndpointEntry, InstanceId};

/// An entry of the endpoint list, as parsed by the platform adapter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedEntry {
    /// The endpoint.
    pub id: InstanceId,
    /// Its entry.
    pub entry: EndpointEntry,
    /// Fields that this version doesn't know.
    pub unknown: Vec<String>,
}
