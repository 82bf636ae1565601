use crate::types::{Millis, RequestRate};

/// The limit that an endpoint has named for all routers together, and this router's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RateShare {
    /// Requests a second that the endpoint takes from all routers.
    pub rate: RequestRate,
    /// Since when it is known here.
    pub since: Millis,
    /// When it was last heard of.
    pub heard: Millis,
    /// When other routers were last told.
    pub told: Millis,
    /// Time between two requests of this router; none where others send all of them.
    pub gap: Option<Millis>,
    /// When this router may send the next one.
    pub next_at: Millis,
}
