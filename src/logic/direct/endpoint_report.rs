use std::sync::Arc;

use crate::types::{GroupSeat, Millis};

/// What an endpoint reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointReport {
    /// When it last started, in Unix milliseconds; absent if it doesn't tell.
    pub started_ms: Option<Millis>,
    /// Its seat in a group.
    pub seat: Option<GroupSeat>,
    /// The model that it holds.
    pub model: Option<Arc<str>>,
    /// Number of orders that it has begun since it started; absent if it doesn't tell.
    pub orders: Option<u64>,
    /// Factor on its times, in thousandths; above 1,000 it is slow.
    pub slowness: u64,
    /// Whether the report could be read. One that couldn't shows only that the endpoint answers.
    pub readable: bool,
}

impl Default for EndpointReport {
    fn default() -> Self {
        Self {
            started_ms: None,
            seat: None,
            model: None,
            orders: None,
            slowness: 1_000,
            readable: true,
        }
    }
}
