use super::Millis;

/// Limits on the size and timing of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerLimits {
    /// Maximum size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for receiving a request's head, in milliseconds.
    pub header_ms: Millis,
    /// Maximum time that a connection may stay idle, in milliseconds.
    pub idle_ms: Millis,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}
