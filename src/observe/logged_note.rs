use crate::types::Millis;
use serde::{Deserialize, Serialize};

/// A note with the time at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedNote {
    /// Milliseconds since the process started.
    pub at_ms: Millis,
    /// Number in the catalogue.
    pub number: u16,
    /// Whole text, with its fields.
    pub text: String,
    /// Values of its fields, for searching.
    pub about: Vec<String>,
}
