use super::EndpointUpdate;
use crate::types::{Millis, StorePosition};

/// Endpoint updates that came with one reading of the list, a part of one, or one digest.
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
    /// Upper bound for the encoded size of the updates, in bytes.
    pub bytes: usize,
    /// Number of digests of this router that had them.
    pub sends: u32,
}
