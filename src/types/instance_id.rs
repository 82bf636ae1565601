use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an instance, as in the platform's instance list.
///
/// Cheap to clone. Entry instances, which run routers, have one as well.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Creates an id from a name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
