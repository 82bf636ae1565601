use crate::types::{EndpointEntry, Millis, StorePosition};

/// An entry of the list that shows a restart of a member of a group, while the endpoint is asked
/// whether it has restarted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RestartClaim {
    /// The entry.
    pub entry: EndpointEntry,
    /// Position of the store as of which it is known.
    pub at: StorePosition,
    /// When the endpoint was last asked.
    pub asked_at: Millis,
}
