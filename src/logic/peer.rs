use super::PeerRole;
use crate::types::InstanceId;

/// The authenticated process at the other end of a session.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Id of its instance.
    pub id: InstanceId,
    /// Random number drawn at the start of the process, which tells it from earlier ones.
    pub incarnation: u64,
    /// Role of the process.
    pub role: PeerRole,
}
