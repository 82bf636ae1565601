use serde::{Deserialize, Serialize};

/// How far an instance is with its place in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SeatState {
    /// It loads.
    Joining,
    /// It has loaded; the group isn't open.
    Ready,
    /// The group takes requests.
    Open,
    /// The group takes none and finishes what it has.
    Closing,
    /// The group has lost a member.
    Broken,
}
