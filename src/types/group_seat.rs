use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::SeatState;

/// An instance's membership in a group, as its engine reports it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupSeat {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch at which the instance joined the group.
    pub epoch: u64,
    /// Rank among the members; the member of rank 0 is the head.
    pub rank: usize,
    /// State of the membership.
    pub state: SeatState,
}
