use std::sync::Arc;

use crate::types::GroupSeat;

/// A group at one epoch, in which an endpoint may have a seat.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SeatKey {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch of the group.
    pub epoch: u64,
}

impl SeatKey {
    /// Whether a seat is in this group at this epoch.
    pub(super) fn is_of(&self, seat: &GroupSeat) -> bool {
        self.group == seat.group && self.epoch == seat.epoch
    }
}
