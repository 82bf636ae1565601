use serde::{Deserialize, Serialize};

/// Which part of a model's work a group does; passed to the engines with the load order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum GroupRole {
    /// Prompt processing and token generation.
    #[default]
    Mixed,
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
}
