use super::PoolKey;
use crate::types::{Millis, SeatState};

/// A group that is being formed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Opening {
    /// Pool that its head will serve.
    pub pool: PoolKey,
    /// State of its head's seat.
    pub state: SeatState,
    /// When it is expected to be open.
    pub at: Millis,
}
