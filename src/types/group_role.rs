use serde::{Deserialize, Serialize};

/// What a group does for its model; passed on to engines with the load order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum GroupRole {
    /// Prompts and generation in one group.
    #[default]
    Mixed,
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
}
