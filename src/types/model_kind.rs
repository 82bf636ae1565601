use serde::{Deserialize, Serialize};

/// Kind of the endpoints in a group.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ModelKind {
    /// A model engine that spans several instances.
    #[default]
    Engine,
    /// A plain service; each group is a single instance.
    Service,
}
