use std::sync::Arc;

use crate::logic::{Peer, PeerRole};
use crate::types::InstanceId;

/// Who a process is, and the key that it shares with its fleet.
#[derive(Clone)]
pub struct Identity {
    /// Own instance.
    pub id: InstanceId,
    /// Own incarnation.
    pub incarnation: u64,
    /// Own role.
    pub role: PeerRole,
    /// The fleet's key.
    pub key: Arc<[u8]>,
}

impl Identity {
    /// The process as its peers see it.
    pub fn as_peer(&self) -> Peer {
        Peer {
            id: self.id.clone(),
            incarnation: self.incarnation,
            role: self.role,
        }
    }
}
