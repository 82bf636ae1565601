use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::endpoint_entry::{check_most, check_name};
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

/// Highest epoch: numbers up to here are exact where they are read as floating point.
const MAX_EPOCH: u64 = 1 << 53;

/// Highest rank in a group.
const MAX_RANK: usize = 1_023;

impl GroupSeat {
    /// Checks that the values are in the range that this product works with.
    ///
    /// # Errors
    /// Returns the first field that is out of range, with what was found and expected.
    pub fn check(&self) -> Result<(), String> {
        check_name("group", &self.group)?;
        check_most("epoch", self.epoch, MAX_EPOCH)?;
        check_most("rank", self.rank as u64, MAX_RANK as u64)
    }
}
