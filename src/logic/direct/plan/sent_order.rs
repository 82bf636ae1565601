use super::{OrderUse, SeatKey};
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
    /// The seat that it tells the endpoint to leave, if it does.
    pub leaves: Option<SeatKey>,
    /// When it was sent.
    pub sent_at: Millis,
}
