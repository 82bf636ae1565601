use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::SeatState;

/// An instance's place in a group, as its engine tells it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupSeat {
    /// Name of the group.
    pub group: Arc<str>,
    /// Epoch under which it was joined.
    pub epoch: u64,
    /// Place among the members; the member at 0 is the head.
    pub rank: usize,
    /// How far it is.
    pub state: SeatState,
}
