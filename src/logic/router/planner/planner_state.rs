use std::collections::BTreeMap;

use crate::types::{InstanceId, Millis};

/// State of the planner's duty at one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerState {
    /// Lease held, or being taken.
    pub lease: Option<i64>,
    /// The duty is held before this time on the own clock.
    pub held_until: Millis,
    /// When the lease is looked after next.
    pub lease_at: Millis,
    /// When plans are made next.
    pub plan_at: Millis,
    /// Since when each silent instance has been silent.
    pub silent: BTreeMap<InstanceId, Millis>,
    /// Thousandths of a record write that may be made.
    pub tokens: u64,
    /// When tokens were last added.
    pub tokens_at: Millis,
    /// Whether the duty was held at the last look.
    pub was_held: bool,
    /// Model whose roll is halted, and why; noted once.
    pub halted: BTreeMap<String, String>,
}

impl PlannerState {
    /// Whether the duty is held.
    pub fn holds(&self, now: Millis) -> bool {
        self.lease.is_some() && now < self.held_until
    }
}
