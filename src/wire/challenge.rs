use serde::{Deserialize, Serialize};

/// First frame of a session, sent by the side that was dialled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Challenge {
    /// Protocol version.
    pub version: u32,
    /// Random bytes.
    pub nonce: [u8; 16],
}
