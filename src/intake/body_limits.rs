use std::time::Duration;

/// Limits on the body of one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BodyLimits {
    /// Most bytes.
    pub max_bytes: usize,
    /// Longest time without any bytes.
    pub idle_time: Duration,
    /// Longest time in all.
    pub wait_time: Duration,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            max_bytes: 4 * 1024 * 1024,
            idle_time: Duration::from_secs(15),
            wait_time: Duration::from_secs(600),
        }
    }
}
