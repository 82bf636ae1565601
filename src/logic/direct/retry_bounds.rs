use super::DirectParams;
use crate::types::Millis;

/// Retry budget: the bounds of a router's retries at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryBounds {
    /// Window in which retries are counted, in milliseconds.
    pub window: Millis,
    /// Retries per thousand requests.
    pub ratio_per_mille: u64,
    /// Further retries of all routers together, in thousandths of a retry.
    pub extra_per_mille: u64,
    /// Routers that share the further retries.
    pub routers: u64,
}

impl RetryBounds {
    /// Budget by the router's parameters, shared by `routers`.
    pub fn new(params: &DirectParams, routers: u64) -> Self {
        Self {
            window: params.retry_window,
            ratio_per_mille: params.retry_ratio,
            extra_per_mille: params.retry_extra,
            routers,
        }
    }
}
