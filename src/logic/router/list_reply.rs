use crate::types::Instance;

/// The platform's instance list, or the lack of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ListReply {
    /// The list.
    Instances(Vec<Instance>),
    /// It hasn't changed since the last time.
    Unchanged,
    /// It couldn't be fetched.
    Unreachable,
}
