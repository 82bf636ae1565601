use super::SeatKey;
use crate::types::Millis;

/// A seat that an endpoint was ordered to leave, without a clear answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DoubtedSeat {
    /// The seat.
    pub seat: SeatKey,
    /// When the answer came.
    pub since: Millis,
}
