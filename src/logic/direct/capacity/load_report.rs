use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::types::{InstanceId, Millis};

/// A load from the weight store that the planner knows to be in progress.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoadReport {
    /// The endpoint.
    pub id: InstanceId,
    /// The model.
    pub model: Arc<str>,
    /// Time since it was ordered, in milliseconds.
    pub age: Millis,
}

impl LoadReport {
    /// Upper bound for the encoded size, in bytes.
    pub(in crate::logic::direct) fn bytes(&self) -> usize {
        /// Names of the fields, headers and the age.
        const REST_BYTES: usize = 32;
        self.id.as_str().len() + self.model.len() + REST_BYTES
    }
}
