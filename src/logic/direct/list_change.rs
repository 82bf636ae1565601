use crate::types::{EndpointEntry, InstanceId};

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListChange {
    /// The endpoint.
    pub id: InstanceId,
    /// Revision of the store that the change made.
    pub revision: i64,
    /// The entry; absent if it was removed.
    pub entry: Option<EndpointEntry>,
}
