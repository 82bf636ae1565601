use std::collections::BTreeSet;

use super::Mechanism;
use crate::types::Millis;

/// Numbers that a router with direct links decides by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DirectKnobs {
    /// Length of the planner's lease.
    pub lease_ms: Millis,
    /// Time between two looks of the planner at its fleet.
    pub plan_ms: Millis,
    /// Shortest silence of a working head that is taken for a loss.
    pub silence_ms: Millis,
    /// Time that an endpoint gets nothing after a failure.
    pub shun_ms: Millis,
    /// Time after which an order without effect is given again.
    pub order_ms: Millis,
    /// Time that a group stands still before it counts as broken.
    pub stall_ms: Millis,
    /// Retries per thousand requests, over all routers.
    pub retry_ratio: u64,
    /// Retries that all routers together may make beside those, in thousandths.
    pub retry_extra: u64,
    /// Span over which retries are counted.
    pub retry_window: Millis,
    /// Time from the order to stop until the process must have ended.
    pub grace_ms: Millis,
    /// Shortest time after which a caller is asked to come back.
    pub again_ms: Millis,
    /// Mechanisms that are switched off, to measure what they are worth.
    pub off: BTreeSet<Mechanism>,
}

impl DirectKnobs {
    /// Whether a mechanism works.
    pub(crate) fn on(&self, mechanism: Mechanism) -> bool {
        !self.off.contains(&mechanism)
    }
}

impl Default for DirectKnobs {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            plan_ms: 50,
            silence_ms: 240,
            shun_ms: 1_000,
            order_ms: 700,
            stall_ms: 4_000,
            retry_ratio: 200,
            retry_extra: 160_000,
            retry_window: 10_000,
            grace_ms: 8_000,
            again_ms: 400,
            off: BTreeSet::new(),
        }
    }
}
