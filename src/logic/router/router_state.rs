use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::head;
use super::{
    AgentView, CallId, CallPurpose, ClaimBatch, Fleet, GroupLoad, HeadView, PeerView, PendingRoll,
    PlannerState, Request, RetryBudget, RouterParams, StoreCall,
};
use crate::logic::{Effect, Rules};
use crate::types::{Bundle, GroupId, Instance, InstanceId, Millis, RequestId};

/// Whole state of a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RouterState {
    /// Safety rules; all on except in the model check.
    pub rules: Rules,
    /// Parameters.
    pub params: RouterParams,
    /// Id of the router's instance.
    pub own_id: InstanceId,
    /// Address at which other processes reach it.
    pub addr: SocketAddr,
    /// The router's data hall.
    pub hall: Arc<str>,
    /// Random number that identifies this process.
    pub incarnation: u64,
    /// State of the random number generator.
    pub seed: u64,
    /// Which bundle is in force, and when it was last proved to be the newest.
    pub head: HeadView,
    /// A roll whose result isn't known yet.
    pub roll: Option<PendingRoll>,
    /// Copy of what the key-value service holds about the fleet.
    pub fleet: Fleet,
    /// Calls to the key-value service that haven't been answered.
    pub calls: BTreeMap<CallId, CallPurpose>,
    /// Number of the next call.
    pub next_call: CallId,
    /// Whether the last call to the key-value service was answered.
    pub store_up: bool,
    /// The instance list.
    pub instances: BTreeMap<InstanceId, Instance>,
    /// Whether the list has been fetched since the start.
    pub has_list: bool,
    /// When the list is fetched next.
    pub list_at: Millis,
    /// Other routers.
    pub peers: BTreeMap<InstanceId, PeerView>,
    /// Agents that are dialled.
    pub agents: BTreeMap<InstanceId, AgentView>,
    /// When the set of agents to dial is updated next.
    pub dial_at: Millis,
    /// Load of groups that this router causes.
    pub loads: BTreeMap<GroupId, GroupLoad>,
    /// Groups that may have a prefix cached, by its hash; only a hint.
    pub prefixes: BTreeMap<u64, GroupId>,
    /// Counter of the round-robin policy.
    pub round_robin: u64,
    /// Requests in flight.
    pub requests: BTreeMap<RequestId, Request>,
    /// Number of requests in flight by client account.
    pub account_counts: BTreeMap<Arc<str>, u32>,
    /// Claims queued or forwarded to be written, and their lease.
    pub claims: ClaimBatch,
    /// Retry budget.
    pub budget: RetryBudget,
    /// State of the planner.
    pub planner: PlannerState,
    /// Whether the process is shutting down: it exits once no request and no roll is in flight.
    pub stopping: bool,
}

impl RouterState {
    /// State of a router that starts now.
    pub fn new(
        own_id: InstanceId,
        addr: SocketAddr,
        hall: &str,
        incarnation: u64,
        params: RouterParams,
    ) -> Self {
        Self {
            rules: Rules::default(),
            params,
            own_id,
            addr,
            hall: Arc::from(hall),
            incarnation,
            seed: incarnation,
            head: HeadView::default(),
            roll: None,
            fleet: Fleet::default(),
            calls: BTreeMap::new(),
            next_call: 1,
            store_up: true,
            instances: BTreeMap::new(),
            has_list: false,
            list_at: 0,
            peers: BTreeMap::new(),
            agents: BTreeMap::new(),
            dial_at: 0,
            loads: BTreeMap::new(),
            prefixes: BTreeMap::new(),
            round_robin: 0,
            requests: BTreeMap::new(),
            account_counts: BTreeMap::new(),
            claims: ClaimBatch::default(),
            budget: RetryBudget::default(),
            planner: PlannerState::default(),
            stopping: false,
        }
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<&Arc<Bundle>> {
        self.head.bundle.as_ref()
    }

    /// Number of the bundle in force; 0 before the first.
    pub fn bundle_number(&self) -> u64 {
        self.head.bundle.as_ref().map_or(0, |b| b.number)
    }

    /// Whether new work may be taken at `now`: the proof that the bundle in force is the newest is
    /// recent enough.
    pub fn proven(&self, now: Millis) -> bool {
        head::is_proven(self, now)
    }

    /// A random number below `bound`; 0 for a bound of 0.
    pub(super) fn random(&mut self, bound: u64) -> u64 {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let value = rng.u64(..);
        self.seed = rng.get_seed();
        if bound == 0 {
            0
        } else {
            value % bound
        }
    }

    /// Adds a random part to a hint when to try again, so that callers don't return all at once.
    pub(super) fn spread(&mut self, base: Millis) -> Millis {
        base + self.random(base.max(1))
    }

    /// Calls the key-value service and keeps the purpose of the call.
    pub(super) fn call_store(
        &mut self,
        purpose: CallPurpose,
        op: StoreCall,
        out: &mut Vec<Effect>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, purpose);
        out.push(Effect::Store { call, op });
    }

    /// Whether a call whose purpose matches is in flight.
    pub(super) fn has_call(&self, wanted: impl Fn(&CallPurpose) -> bool) -> bool {
        self.calls.values().any(wanted)
    }
}
