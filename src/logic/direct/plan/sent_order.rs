use super::OrderUse;
use crate::types::{InstanceId, Millis};

/// An order that awaits its result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SentOrder {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its purpose.
    pub purpose: OrderUse,
    /// Number of orders that the endpoint must have begun before it, if it depends on that.
    pub expected: Option<u64>,
    /// When it was sent.
    pub sent_at: Millis,
}
