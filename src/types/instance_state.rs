use serde::{Deserialize, Serialize};

/// State of an instance in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Running.
    Live,
    /// About to be stopped or replaced.
    Leaving,
}
