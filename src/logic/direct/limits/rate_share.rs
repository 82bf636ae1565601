use super::PacedShare;
use crate::types::{Millis, RequestRate};

/// Rate limit that an endpoint has named for all routers together, and this router's share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateShare {
    /// Requests a second that the endpoint takes from all routers.
    pub rate: RequestRate,
    /// Time since which it is known here.
    pub known_since: Millis,
    /// Time at which an answer or another router last named it.
    pub confirmed_at: Millis,
    /// Time at which this router last broadcast it; 0 before that.
    pub broadcast_at: Millis,
    /// This router's share of it.
    pub share: PacedShare,
}
