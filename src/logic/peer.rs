use super::PeerRole;
use crate::types::InstanceId;

/// An authenticated process at the other end of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Its instance.
    pub id: InstanceId,
    /// Random number drawn when its process started.
    pub incarnation: u64,
    /// What it runs.
    pub role: PeerRole,
}
