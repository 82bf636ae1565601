use super::OrderUse;
use crate::types::{InstanceId, Millis};

/// An order that awaits its result.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SentOrder {
    /// The endpoint.
    pub endpoint: InstanceId,
    /// Its purpose.
    pub purpose: OrderUse,
    /// When it was sent.
    pub sent_at: Millis,
}
