use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an instance, as in the platform's instance list.
///
/// Cheap to clone. Entry instances, which run routers, have one as well.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceId(Arc<str>);

/// Longest id of an endpoint, in bytes.
const MAX_ENDPOINT_BYTES: usize = 256;

impl InstanceId {
    /// Creates an id from a name.
    pub fn new(name: &str) -> Self {
        Self(Arc::from(name))
    }

    /// Creates the id of an endpoint from its name in the list.
    ///
    /// # Errors
    /// Returns what was found and expected if a header couldn't name the endpoint.
    pub fn of_endpoint(name: &str) -> Result<Self, String> {
        let bytes = name.len();
        let is_usable = |b: u8| b.is_ascii_graphic() && b != b'/';
        if (1..=MAX_ENDPOINT_BYTES).contains(&bytes) && name.bytes().all(is_usable) {
            return Ok(Self::new(name));
        }
        Err(format!(
            "id of {bytes} bytes: expected 1 to {MAX_ENDPOINT_BYTES} visible ASCII characters without a slash"
        ))
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
