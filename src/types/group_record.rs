use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupId, GroupRole, InstanceId, Member, Millis, ModelKind, Phase};

/// Planned state of a group: its members and what they serve.
///
/// It is stored as part of its [`DomainRecord`](super::DomainRecord), which is one value
/// in the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Id of the group.
    pub id: GroupId,
    /// Increases with every change of members, model or version; the fencing token of all
    /// orders.
    pub epoch: u64,
    /// Members in rank order; member 0 is the leader.
    pub members: Vec<Member>,
    /// Name of the model or plain service, as in the bundle.
    pub model: Arc<str>,
    /// Version of the model.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role that is passed to the engines.
    pub role: GroupRole,
    /// Adapters to load.
    pub adapters: Vec<String>,
    /// Expected time to load the weights, in milliseconds.
    pub load_ms: Millis,
    /// Whether the group may accept new requests.
    pub phase: Phase,
}

impl GroupRecord {
    /// The member whose agent leads the group.
    ///
    /// # Panics
    /// Panics if the record has no members; such a record is never stored.
    pub fn leader(&self) -> &Member {
        &self.members[0]
    }

    /// Whether an instance is a member.
    pub fn has(&self, instance: &InstanceId) -> bool {
        self.members.iter().any(|m| &m.instance == instance)
    }
}
