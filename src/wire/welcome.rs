use crate::logic::PeerRole;
use crate::types::InstanceId;
use serde::{Deserialize, Serialize};

/// Third frame of a session, sent by the side that was dialled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// Instance of the sender.
    pub id: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Role of the sender.
    pub role: PeerRole,
    /// Proof that the sender holds the fleet's key.
    pub proof: Vec<u8>,
}
