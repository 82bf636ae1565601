use serde::{Deserialize, Serialize};

/// The operators' weights between the two measures of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Measure {
    /// Cost of a group being down for a second.
    pub downtime: u32,
    /// Cost of one healthy instance outside any working group for a second.
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
