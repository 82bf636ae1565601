use serde::{Deserialize, Serialize};

use super::LeadReport;
use crate::types::GroupId;

/// State of an agent, sent to the routers that have a session with it.
///
/// It is sent when something changes; changes of load alone are sent at a limited rate, as
/// [`LoadReport`](super::LoadReport).
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Number of the agent's bundle.
    pub bundle: u64,
    /// Group and epoch that the agent has granted its presence lease to.
    pub grant: Option<(GroupId, u64)>,
    /// State of the group that the agent leads, if any.
    pub lead: Option<LeadReport>,
    /// Whether the agent is leaving.
    pub leaving: bool,
}
