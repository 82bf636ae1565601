use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupId, GroupRole, InstanceId, Member, Millis, ModelKind, Phase};

/// What is decided about one group: who its members are and what they serve.
///
/// Kept inside its [`DomainRecord`](super::DomainRecord), which is one value in
/// the platform's key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GroupRecord {
    /// Stable id.
    pub id: GroupId,
    /// Grows with every change of members, model or version; the fence of all orders.
    pub epoch: u64,
    /// Members in rank order; member 0 leads.
    pub members: Vec<Member>,
    /// Model name in the bundle.
    pub model: Arc<str>,
    /// Model version.
    pub version: Arc<str>,
    /// Engine or plain service.
    pub kind: ModelKind,
    /// Role passed to engines.
    pub role: GroupRole,
    /// Adapters to load.
    pub adapters: Vec<String>,
    /// Expected time to load the weights, in milliseconds.
    pub load_ms: Millis,
    /// Whether new work may be admitted.
    pub phase: Phase,
}

impl GroupRecord {
    /// The instance whose agent leads the group.
    ///
    /// # Panics
    /// Never for a stored record: a record without members isn't written.
    pub fn leader(&self) -> &Member {
        &self.members[0]
    }

    /// Whether an instance is a member.
    pub fn has(&self, instance: &InstanceId) -> bool {
        self.members.iter().any(|m| &m.instance == instance)
    }
}
