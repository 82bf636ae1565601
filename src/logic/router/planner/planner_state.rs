use std::collections::BTreeMap;

use crate::types::{InstanceId, Millis};

/// State of the planner lease and of planning at one router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlannerState {
    /// Id of the lease, once the planner key has been written under it.
    pub lease: Option<i64>,
    /// The lease is held before this time on the router's own clock.
    pub held_until: Millis,
    /// When the lease is next renewed, or its key read to acquire it.
    pub lease_due: Millis,
    /// When the next planning pass is due.
    pub next_pass: Millis,
    /// Since when each silent instance has been without a session with this router, or missing
    /// by its leader's report.
    pub silent_since: BTreeMap<InstanceId, Millis>,
    /// Thousandths of a token for record writes; a write takes 1,000, that is one token.
    pub write_milli_tokens: u64,
    /// When tokens were last added.
    pub refilled_at: Millis,
    /// Whether the lease was held at the last tick.
    pub was_held: bool,
    /// Models whose rollout is halted, with the reason; each is logged once.
    pub halted_rollouts: BTreeMap<String, String>,
}

impl PlannerState {
    /// Whether the planner lease is held at `now`.
    pub fn is_held(&self, now: Millis) -> bool {
        self.lease.is_some() && now < self.held_until
    }
}
