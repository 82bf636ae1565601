use crate::types::Millis;

/// Parameters of an agent. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentParams {
    /// Length of a presence lease; the same on every instance of a fleet.
    pub lease_ms: Millis,
    /// Added by a member to the length of each grant, for the drift between its clock and its
    /// leader's.
    pub margin_ms: Millis,
    /// Time between two rounds of lease requests.
    pub ask_ms: Millis,
    /// Requests that the endpoint runs at once, until it reports its own number.
    pub slots: u32,
    /// Requests that may wait.
    pub queue_limit: u32,
    /// Memory for the requests that wait, in bytes.
    pub queue_bytes: u32,
    /// How long a group with a leaving member still accepts requests while a successor forms.
    pub leave_ms: Millis,
    /// Time after a failed load before it is ordered again.
    pub load_retry_ms: Millis,
    /// Shortest time between two reports that differ only in the load.
    pub report_ms: Millis,
    /// Longest answer that is kept for a repeated request, in bytes.
    pub answer_bytes: u32,
    /// Limit of the size of all kept answers together, in bytes.
    pub answers_bytes: u32,
    /// Whether requests are served by priority, with reserved slots and pauses, and by shares of
    /// the accounts; otherwise in order of arrival, only as a baseline for comparison.
    pub by_class: bool,
}

impl Default for AgentParams {
    fn default() -> Self {
        Self {
            lease_ms: 3_000,
            margin_ms: 300,
            ask_ms: 1_000,
            slots: 8,
            queue_limit: 256,
            queue_bytes: 32 * 1024 * 1024,
            leave_ms: 3_000,
            load_retry_ms: 5_000,
            report_ms: 1_000,
            answer_bytes: 64 * 1024,
            answers_bytes: 16 * 1024 * 1024,
            by_class: true,
        }
    }
}
