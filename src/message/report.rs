use serde::{Deserialize, Serialize};

use super::LeadReport;
use crate::types::GroupId;

/// What an agent tells the routers that have a session with it.
///
/// Sent when something changes, at a bounded rate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Number of the agent's bundle.
    pub bundle: u64,
    /// Group and epoch the agent has granted its presence to.
    pub grant: Option<(GroupId, u64)>,
    /// Present when the agent leads a group.
    pub lead: Option<LeadReport>,
    /// Whether the agent is leaving.
    pub leaving: bool,
}
