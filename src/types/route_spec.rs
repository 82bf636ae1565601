use std::sync::Arc;

use super::{Millis, RouteKind};

/// One route: which requests it takes and how they are served.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouteSpec {
    /// Name, for logs.
    pub name: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Whether a broken stream may be taken up at another endpoint.
    pub resumable: bool,
    /// Longest time that a request is held.
    pub timeout_ms: Millis,
    /// Time within which an answer, or the first event of a stream, is wanted.
    pub target_ms: Millis,
    /// Longest wanted pause between events of a stream.
    pub gap_ms: Millis,
    /// Most endpoints that one request may run at.
    pub attempts: u32,
    /// Rank; 0 comes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub open: bool,
    /// Services with their weights; at least one.
    pub split: Vec<(Arc<str>, u32)>,
}

impl RouteSpec {
    /// Whether a request that may have run can be sent again.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request, by its place among the weights.
    pub fn service(&self, draw: u64) -> Option<&Arc<str>> {
        let whole: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut place = draw.checked_rem(whole)?;
        for (service, weight) in &self.split {
            if place < u64::from(*weight) {
                return Some(service);
            }
            place -= u64::from(*weight);
        }
        None
    }
}
