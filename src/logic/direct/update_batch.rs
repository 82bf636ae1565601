use super::EndpointUpdate;
use crate::types::{Millis, StorePosition};

/// Endpoint updates that came with one reading of the list or with one digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct UpdateBatch {
    /// When they were read or received.
    pub at: Millis,
    /// Position of the list after which they begin.
    pub before: StorePosition,
    /// Position of the list up to which they reach.
    pub after: StorePosition,
    /// The updates, in order.
    pub updates: Vec<EndpointUpdate>,
}

impl UpdateBatch {
    /// Upper bound for the encoded size of its updates, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.updates.iter().map(EndpointUpdate::bytes).sum()
    }
}
