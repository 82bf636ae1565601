use serde::{Deserialize, Serialize};

/// Costs that operators assign to group downtime and to unused instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Measure {
    /// Cost per second of downtime of a group; it is multiplied by the value of the group's
    /// model.
    pub downtime: u32,
    /// Cost per second that a healthy instance belongs to no working group.
    pub stranded: u32,
}

impl Default for Measure {
    fn default() -> Self {
        Self {
            downtime: 10,
            stranded: 1,
        }
    }
}
