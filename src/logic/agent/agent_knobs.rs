use crate::types::Millis;

/// Numbers that an agent decides by. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentKnobs {
    /// Length of a presence lease; the same on every instance of a fleet.
    pub lease_ms: Millis,
    /// Added by a member to each grant, for drift between two clocks.
    pub margin_ms: Millis,
    /// Time between two rounds of lease requests.
    pub ask_ms: Millis,
    /// Requests the endpoint runs at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: u32,
    /// How long a group with a leaving member serves on while a successor forms.
    pub leave_ms: Millis,
    /// Wait before a failed load is tried again.
    pub load_retry_ms: Millis,
    /// Shortest time between two reports that differ only in counts.
    pub report_ms: Millis,
    /// Longest answer that is kept for a caller who asks again, in bytes.
    pub answer_bytes: u32,
    /// Bytes of all answers that are kept together.
    pub answers_bytes: u32,
    /// Whether classes are served by priority with reserved slots; off only as a baseline.
    pub by_class: bool,
}

impl Default for AgentKnobs {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 300,
            ask_ms: 1_000,
            slots: 8,
            queue_limit: 256,
            leave_ms: 3_000,
            load_retry_ms: 5_000,
            report_ms: 1_000,
            answer_bytes: 64 * 1024,
            answers_bytes: 16 * 1024 * 1024,
            by_class: true,
        }
    }
}
