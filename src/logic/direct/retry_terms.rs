use super::DirectKnobs;
use crate::types::Millis;

/// What bounds a router's retries at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RetryTerms {
    /// Span over which retries are counted, in milliseconds.
    pub window: Millis,
    /// Retries for a thousand requests.
    pub ratio: u64,
    /// Retries that all routers may send beside, in thousandths.
    pub extra: u64,
    /// Routers that share those.
    pub routers: u64,
}

impl RetryTerms {
    /// Terms by the settings, for so many routers.
    pub fn new(knobs: &DirectKnobs, routers: u64) -> Self {
        Self {
            window: knobs.retry_window,
            ratio: knobs.retry_ratio,
            extra: knobs.retry_extra,
            routers,
        }
    }
}
