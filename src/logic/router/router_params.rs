use super::RoutePolicy;
use crate::types::Millis;

/// Parameters of a router. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouterParams {
    /// Age at which the proof that the bundle in force is the newest no longer counts.
    pub proof_ms: Millis,
    /// Time between two reads of the head, which prove that the bundle in force is the newest.
    pub prove_ms: Millis,
    /// Time between two queries to other routers while the key-value service gives no proof.
    pub ask_ms: Millis,
    /// Time between two fetches of the instance list.
    pub list_ms: Millis,
    /// Length of the planner lease.
    pub planner_ms: Millis,
    /// Time between two planning passes.
    pub plan_ms: Millis,
    /// Longest time a member may be silent before it is replaced.
    pub patience_ms: Millis,
    /// Record writes a planner may make a minute.
    pub plan_rate: u32,
    /// Time for which claims are collected for a batch write.
    pub claim_ms: Millis,
    /// Most claims in one batch write.
    pub claim_batch: u32,
    /// Routers that write the claims of all routers, if there are more routers than that.
    pub claim_writers: u32,
    /// How long a claim is kept.
    pub claim_keep_ms: Millis,
    /// Most attempts at one request.
    pub attempts: u32,
    /// Delay before a request is dispatched again that has no leader to go to.
    pub park_ms: Millis,
    /// Time after a deadline in which the agent's refusal may still arrive.
    pub grace_ms: Millis,
    /// Most attempts and queries for a request that may not be repeated.
    pub claim_tries: u32,
    /// Time for a claimed attempt to reach its agent before another router bars it.
    pub recall_ms: Millis,
    /// Least hint when to try again; up to as much is added at random.
    pub hint_ms: Millis,
    /// Requests in flight at one router.
    pub request_limit: u32,
    /// Groups of other data halls that a router keeps sessions with, for each model.
    pub far_groups: u32,
    /// Extra cost of a group in another data hall, as waiting time.
    pub far_ms: Millis,
    /// Time over which a group that has just opened is filled.
    pub ramp_ms: Millis,
    /// Extra cost, as waiting time, that is accepted for a group that may have the prefix cached.
    pub prefix_ms: Millis,
    /// How a group is chosen; all but the default are baselines for comparison.
    pub policy: RoutePolicy,
    /// Whether a group may be dissolved to repair another one with a positive gain; off only for
    /// comparison.
    pub trade: bool,
}

impl Default for RouterParams {
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
