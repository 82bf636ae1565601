use crate::types::GroupSeat;

/// What a look at an endpoint has shown.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LookResult {
    /// It answers.
    Alive {
        /// When its life began, in Unix milliseconds; absent where it doesn't tell.
        born: Option<u64>,
        /// Its place in a group.
        seat: Option<GroupSeat>,
        /// Factor on its times, in thousandths; over 1,000 it is slow.
        pace: u64,
    },
    /// Nothing listens at its address.
    Refused,
    /// Another endpoint listens at its address.
    Replaced,
    /// No answer came in time.
    Silent,
}
