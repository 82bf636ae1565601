use super::Millis;

/// What a caller may send, and how long it may take or rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head.
    pub header_ms: Millis,
    /// Longest rest of a connection.
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
