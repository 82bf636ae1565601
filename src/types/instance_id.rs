use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of one instance, as the platform's instance list gives it.
///
/// Cheap to clone. An entry instance that runs a router has one as well.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId(Arc<str>);

impl InstanceId {
    /// Wraps a name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// The name as text.
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
