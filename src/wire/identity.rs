use std::sync::Arc;

use crate::logic::{Peer, PeerRole};
use crate::types::InstanceId;

/// Identity of a process, and the key that it shares with its fleet.
#[derive(Clone)]
pub struct Identity {
    /// Instance that the process runs on.
    pub id: InstanceId,
    /// Number that distinguishes this process from earlier ones of the instance.
    pub incarnation: u64,
    /// Role of the process.
    pub role: PeerRole,
    /// The fleet's key.
    pub key: Arc<[u8]>,
}

impl Identity {
    /// The identity without the key, as it is sent to peers.
    pub fn as_peer(&self) -> Peer {
        Peer {
            id: self.id.clone(),
            incarnation: self.incarnation,
            role: self.role,
        }
    }
}
