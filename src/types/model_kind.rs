use serde::{Deserialize, Serialize};

/// The kind of endpoint a group consists of.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ModelKind {
    /// A model engine that spans several instances.
    #[default]
    Engine,
    /// A plain service; a group is a single instance.
    Service,
}
