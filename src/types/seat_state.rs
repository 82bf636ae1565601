use serde::{Deserialize, Serialize};

/// State of an instance's membership in a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SeatState {
    /// The instance loads the model.
    Joining,
    /// The instance has loaded the model; the group isn't open yet.
    Ready,
    /// The group accepts requests.
    Open,
    /// The group accepts no new requests and finishes those it has.
    Closing,
    /// The group has lost a member.
    Broken,
}
