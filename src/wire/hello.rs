use crate::logic::PeerRole;
use crate::types::InstanceId;
use serde::{Deserialize, Serialize};

/// Second frame of a session, sent by the side that dialled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version.
    pub version: u32,
    /// Instance of the sender.
    pub id: InstanceId,
    /// Instance that the sender wants to reach.
    pub to: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Role of the sender.
    pub role: PeerRole,
    /// Random bytes of the sender.
    pub nonce: [u8; 16],
    /// Proof that the sender holds the fleet's key.
    pub proof: Vec<u8>,
}
