use std::sync::Arc;

use super::{Millis, RouteKind};

/// One route: which requests it matches and how they are served.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteSpec {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Whether an interrupted stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Deadline of requests, counted from their arrival, in milliseconds; a caller may ask
    /// for an earlier one.
    pub timeout_ms: Millis,
    /// Target time to an answer or to the first event of a stream, in milliseconds.
    pub target_ms: Millis,
    /// Target for the longest pause between two events of a stream, in milliseconds.
    pub gap_ms: Millis,
    /// Maximum number of runs of one request, not counting sends that are known not to have
    /// run.
    pub attempts: u32,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers may use the route without a key.
    pub open: bool,
    /// Services that requests are distributed to, with their weights; at least one.
    pub split: Vec<(Arc<str>, u32)>,
}

impl RouteSpec {
    /// Whether a request that may have run may be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Selects the service for a request: `draw`, a random number, selects each service
    /// with a chance in proportion to its weight. `None` if all weights are 0.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut rest = draw.checked_rem(total)?;
        for (service, weight) in &self.split {
            if rest < u64::from(*weight) {
                return Some(service);
            }
            rest -= u64::from(*weight);
        }
        None
    }
}
