use crate::logic::intake::IntakeLimits;

/// Limits on the clients of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Name of the listener, for the log and the metrics.
    pub listener: &'static str,
    /// Most requests that are answered at the same time.
    pub open_requests: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Limits on connections and memory.
    pub intake: IntakeLimits,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            listener: "callers",
            open_requests: 1_024,
            body_bytes: 1024 * 1024,
            intake: IntakeLimits::default(),
        }
    }
}
