use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::admission::AdmissionState;
use super::crashes::CrashState;
use super::plan::{IdleReason, PlanState};
use super::returns::ReturnsState;
use super::{
    Demand, DigestState, DirectParams, DirectRequest, EndpointView, EvacuatedHalls,
    InFlightRequest, ListLog, ListStart, Mechanism, ObservationRequest, QueueKey, RecentPeak,
    Registration, RetryWindow, RoutingRecheck, ShutdownStage, WaitQueue,
};
use crate::logic::router::{CallId, StoreCall};
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, Routing, StorePosition};

/// Complete state of a router that reaches endpoints by direct links.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DirectState {
    /// Parameters of its decisions.
    pub params: DirectParams,
    /// This router's instance.
    pub own_id: InstanceId,
    /// When this process handled its first event.
    pub started: Option<Millis>,
    /// Address at which other routers reach this one.
    pub own_addr: Option<SocketAddr>,
    /// This router's data hall.
    pub hall: Arc<str>,
    /// State of the random number generator.
    pub seed: u64,
    /// When the last tick came.
    pub ticked_at: Millis,
    /// When the tick before it came: everything sent to this process by then has been handled.
    pub previous_tick: Millis,
    /// Reading of the routing that requests wait for after a pause of the process.
    pub pause: RoutingRecheck,
    /// Routing in force.
    pub routing: Option<Arc<Routing>>,
    /// Data halls that operators evacuate.
    pub evacuation: EvacuatedHalls,
    /// Where the endpoint list comes from after the start.
    pub list_start: ListStart,
    /// Whether the endpoint list is known, by a complete reading or a snapshot.
    pub listed: bool,
    /// Whether the first complete reading, or a snapshot, has been applied: later changes are updates.
    pub list_applied: bool,
    /// How often the store was restored from a backup; none before its first answer.
    pub store_era: Option<u64>,
    /// Position of the store up to which the list is known.
    pub listed_at: StorePosition,
    /// State of digests, sent and received.
    pub digests: DigestState,
    /// Endpoints by id.
    pub endpoints: BTreeMap<InstanceId, EndpointView>,
    /// Changes of the list that the current event has made, to be logged at its end.
    pub list_log: ListLog,
    /// In-flight requests: those without a final answer.
    pub in_flight: BTreeMap<u64, InFlightRequest>,
    /// Wait queues of requests for an endpoint.
    pub queues: BTreeMap<QueueKey, WaitQueue>,
    /// Use of client accounts and load of capacity pools.
    pub admission: AdmissionState,
    /// Requests held until the routing and the list are known, or until the routing was read again
    /// after a pause, with their arrival.
    pub held_requests: Vec<(Millis, DirectRequest)>,
    /// Appointments of refused requests, and what they are computed from.
    pub returns: ReturnsState,
    /// Demand of callers.
    pub demand: Demand,
    /// Requests by the number of their run.
    pub runs: BTreeMap<u64, u64>,
    /// Last number given to a run, an order, a call or a probe request.
    pub last_number: u64,
    /// Retries and requests by service.
    pub retries: BTreeMap<Arc<str>, RetryWindow>,
    /// Retries that the retry budget allowed, since this process started.
    pub retries_paid: u64,
    /// Retries that it didn't allow, since this process started.
    pub retries_unpaid: u64,
    /// State of this router's address in the key-value service.
    pub registration: Registration,
    /// Addresses of the other routers.
    pub peers: BTreeMap<InstanceId, SocketAddr>,
    /// Number of changes of these addresses so far.
    pub peer_changes: u64,
    /// From when this router sends retries; never before the other routers are known.
    pub retries_from: Option<Millis>,
    /// Most routers known at a time within the retry window, this one included.
    pub router_peak: RecentPeak,
    /// Probe requests of other routers that await a reply, by endpoint.
    pub observation_requests: BTreeMap<InstanceId, Vec<ObservationRequest>>,
    /// State of the detection of requests that crash endpoints.
    pub crashes: CrashState,
    /// State of the planner, its lease included.
    pub plan: PlanState,
    /// Readiness last reported to the balancer.
    pub reported_ready: bool,
    /// When this process was told to shut down.
    pub stop_since: Option<Millis>,
    /// Stage of the shutdown.
    pub shutdown: ShutdownStage,
}

impl DirectState {
    /// Initial state of a router.
    pub fn new(own_id: InstanceId, hall: &str, seed: u64, params: DirectParams) -> Self {
        Self {
            params,
            own_id,
            started: None,
            ticked_at: 0,
            previous_tick: 0,
            own_addr: None,
            hall: Arc::from(hall),
            seed,
            pause: RoutingRecheck::default(),
            routing: None,
            evacuation: EvacuatedHalls::default(),
            list_start: ListStart::default(),
            listed: false,
            list_applied: false,
            store_era: None,
            listed_at: StorePosition::default(),
            digests: DigestState::default(),
            endpoints: BTreeMap::new(),
            list_log: ListLog::default(),
            in_flight: BTreeMap::new(),
            queues: BTreeMap::new(),
            admission: AdmissionState::default(),
            held_requests: Vec::new(),
            returns: ReturnsState::default(),
            demand: Demand::default(),
            runs: BTreeMap::new(),
            last_number: 1,
            retries: BTreeMap::new(),
            retries_paid: 0,
            retries_unpaid: 0,
            registration: Registration::default(),
            peers: BTreeMap::new(),
            peer_changes: 0,
            retries_from: None,
            router_peak: RecentPeak::default(),
            observation_requests: BTreeMap::new(),
            crashes: CrashState::default(),
            plan: PlanState::default(),
            reported_ready: false,
            stop_since: None,
            shutdown: ShutdownStage::default(),
        }
    }

    /// Time at which the process exits in any case, once it is shutting down: answers that callers still
    /// read may take until then.
    pub fn exit_by(&self) -> Option<Millis> {
        super::step::exit_by(self)
    }

    /// Metrics of this router by name, for its metrics address.
    pub fn metrics(&self, now: Millis) -> Vec<(&'static str, u64)> {
        let listed = self.endpoints.values().filter(|v| v.listed);
        let silent = self.endpoints.values().filter(|v| v.silent_since.is_some());
        let heads = self
            .endpoints
            .values()
            .filter(|v| v.listed && v.is_open_head());
        let cold = self.endpoints.values().filter(|v| v.cold.is_some());
        let hold_offs = self.hold_offs(now);
        vec![
            ("endpoints", listed.count() as u64),
            ("endpoints_silent", silent.count() as u64),
            ("groups_open", heads.count() as u64),
            ("groups_forming", self.plan.forming.len() as u64),
            ("groups_ending", self.plan.ending.len() as u64),
            ("loads_under_way", self.plan.staging.len() as u64),
            ("loads_waiting", self.plan.loads_waiting as u64),
            ("members_waiting", self.plan.repairs.members_waiting as u64),
            ("repair_ms", self.plan.repairs.last_ms),
            ("requests_in_flight", self.in_flight.len() as u64),
            ("requests_waiting", self.waiting() as u64),
            ("routers_known", self.peers.len() as u64 + 1),
            (
                "routing_version",
                self.routing.as_ref().map_or(0, |r| r.version),
            ),
            ("models_misfit", self.plan.misfits.len() as u64),
            ("halls_evacuated", self.evacuation.len() as u64),
            ("endpoints_cold", cold.count() as u64),
            ("endpoints_held", hold_offs.len() as u64),
            ("longest_hold_ms", hold_offs.into_iter().max().unwrap_or(0)),
            (
                "figures_missing",
                self.routing
                    .as_ref()
                    .map_or(0, |r| r.missing_values.len() as u64),
            ),
            ("idle_loads", self.idle(IdleReason::Loads)),
            ("idle_empty", self.idle(IdleReason::Empty)),
            ("idle_waits", self.idle(IdleReason::Waits)),
            ("plans", u64::from(self.plan.lease.holds(now))),
            ("store_era", self.store_era.unwrap_or(0)),
            ("retries_paid", self.retries_paid),
            ("retries_unpaid", self.retries_unpaid),
            ("requests_suspected", self.crashes.table.len() as u64),
            (
                "requests_blocked",
                self.crashes.table.blocked().count() as u64,
            ),
            ("blocked_refused", self.crashes.refusals),
            ("admission_refused", self.admission.refused),
            ("admission_late", self.admission.late),
            ("accounts_tracked", self.admission.usage.len() as u64),
            ("crashes_counted", self.crashes.table.all_counted() as u64),
            ("appointments", self.returns.given),
            ("appointments_kept", self.returns.kept),
            ("refused_again", self.returns.refused_again),
            ("age_ms", self.age(now)),
        ]
    }

    /// What is left of the hold-offs of endpoints, in milliseconds.
    fn hold_offs(&self, now: Millis) -> Vec<Millis> {
        let all = self.endpoints.values();
        let left = all.filter_map(|v| Some(v.hold_off.as_ref()?.until.saturating_sub(now)));
        left.filter(|left| *left > 0).collect()
    }

    /// Number of requests in wait queues or held until the routing and the list are known and
    /// current.
    fn waiting(&self) -> usize {
        let queues = self.queues.values().map(|l| l.waiting.len());
        queues.sum::<usize>() + self.held_requests.len()
    }

    /// Number of endpoints that serve in no group for a reason; 0 while this router doesn't plan.
    fn idle(&self, reason: IdleReason) -> u64 {
        let idle = self.plan.idle.values().filter(|i| i.reason == reason);
        idle.count() as u64
    }

    /// Whether an optional part of the policy takes effect for a service.
    pub fn is_active(&self, part: Mechanism, service: &str) -> bool {
        let spec = self.routing.as_ref().and_then(|r| r.services.get(service));
        let engine = spec.and_then(|s| s.engine.as_ref());
        self.params.is_active(part, engine)
    }

    /// Time since this process handled its first event, in milliseconds.
    pub(super) fn age(&self, now: Millis) -> Millis {
        self.started.map_or(0, |at| now.saturating_sub(at))
    }

    /// A random number below `bound`; 0 for a bound of 0.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let value = rng.u64(..);
        self.seed = rng.get_seed();
        value.checked_rem(bound).unwrap_or(0)
    }

    /// The next number for a run, an order, a call or a probe request.
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Sends a call to the key-value service and returns its number.
    pub(super) fn call_store(&mut self, op: StoreCall, out: &mut Vec<Effect>) -> CallId {
        let call = self.next_number();
        out.push(Effect::Store { call, op });
        call
    }
}
