use super::RoutePolicy;
use crate::types::Millis;

/// Numbers that a router decides by. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouterKnobs {
    /// Longest age of the proof that the bundle in force is the newest.
    pub proof_ms: Millis,
    /// Time between two proofs.
    pub prove_ms: Millis,
    /// Time between two questions to other routers, while the service gives no proof.
    pub ask_ms: Millis,
    /// Time between two fetches of the instance list.
    pub list_ms: Millis,
    /// Length of the planner's lease.
    pub planner_ms: Millis,
    /// Time between two looks of the planner.
    pub plan_ms: Millis,
    /// Longest time a missing member is waited for.
    pub patience_ms: Millis,
    /// Record writes a planner may make a minute.
    pub plan_rate: u32,
    /// Time a batch of claims is collected for.
    pub claim_ms: Millis,
    /// Most claims of one write.
    pub claim_batch: u32,
    /// Routers that write claims for all others, once there are more routers than that.
    pub claim_writers: u32,
    /// How long a claim is kept.
    pub claim_keep_ms: Millis,
    /// Most attempts at one request.
    pub attempts: u32,
    /// Wait before an attempt that may be taken a moment later.
    pub park_ms: Millis,
    /// Time after a deadline in which an agent's own refusal may still arrive.
    pub grace_ms: Millis,
    /// Most attempts and questions for a request that may not be repeated.
    pub claim_tries: u32,
    /// Time for a claimed attempt to reach its agent before another router bars it.
    pub recall_ms: Millis,
    /// Base of the hint when to come back; a random part of the same size is added.
    pub hint_ms: Millis,
    /// Requests in flight at one router.
    pub request_limit: u32,
    /// Groups of other halls that a router keeps a session with, for each model.
    pub far_groups: u32,
    /// Extra cost of a group in another hall, in milliseconds of waiting.
    pub far_ms: Millis,
    /// Time over which a group that has just opened is filled.
    pub ramp_ms: Millis,
    /// Extra waiting that a cached prefix is worth, in milliseconds.
    pub prefix_ms: Millis,
    /// How a group is chosen; anything but the default serves as a baseline.
    pub policy: RoutePolicy,
    /// Whether a group is given up for a more valuable one; off only as a baseline.
    pub trade: bool,
}

impl Default for RouterKnobs {
    fn default() -> Self {
        Self {
            proof_ms: 8_000,
            prove_ms: 2_000,
            ask_ms: 2_500,
            list_ms: 2_000,
            planner_ms: 10_000,
            plan_ms: 500,
            patience_ms: 30_000,
            plan_rate: 60,
            claim_ms: 50,
            claim_writers: 4,
            claim_batch: 100,
            claim_keep_ms: 6 * 3_600_000,
            attempts: 4,
            park_ms: 100,
            grace_ms: 250,
            claim_tries: 24,
            recall_ms: 500,
            hint_ms: 1_000,
            request_limit: 2_000,
            far_groups: 8,
            far_ms: 10,
            ramp_ms: 2_000,
            prefix_ms: 50,
            policy: RoutePolicy::LeastWait,
            trade: true,
        }
    }
}
