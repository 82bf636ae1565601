use crate::types::Millis;
use serde::{Deserialize, Serialize};

/// A log event with the time at which it was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoggedEvent {
    /// Milliseconds since the process started.
    pub at_ms: Millis,
    /// Number of the event in the catalogue.
    pub number: u16,
    /// Title and fields as one line.
    pub text: String,
    /// Values of its fields, for the search by subject.
    pub about: Vec<String>,
}
