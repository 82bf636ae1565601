use crate::types::Instance;

/// Result of fetching the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ListReply {
    /// The list.
    Instances(Vec<Instance>),
    /// It hasn't changed since the last fetch.
    Unchanged,
    /// It couldn't be fetched.
    Unreachable,
}
