use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::survey::Place;
use super::{
    Confirmation, DoubtedSeat, EndingGroup, FormingGroup, IdleEndpoint, KnownLoad, LoadBudget,
    LoadPause, OrderQueue, PlannerLease, ProbeState, Repairs, SentOrder, StagedLoad,
};
use crate::logic::direct::LifeSign;
use crate::observe::LabelledCount;
use crate::types::{GroupSeat, InstanceId, Millis};

/// State of the planner beside the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlanState {
    /// The planner lease.
    pub lease: PlannerLease,
    /// Whether this router held the planner lease at the last tick.
    pub was_planner: bool,
    /// Fence of the planner lease under which the state of this period as planner was collected; 0 if
    /// there is none.
    pub pass_fence: u64,
    /// When the planner lease last lapsed.
    pub lapsed_at: Millis,
    /// When this router last became the planner.
    pub planner_since: Millis,
    /// When the whole list may be requested again, while it is incomplete or older than the planner
    /// lease.
    pub reread_at: Millis,
    /// When the next planning pass is due.
    pub next_pass: Millis,
    /// Groups that are being formed, by name.
    pub forming: BTreeMap<Arc<str>, FormingGroup>,
    /// Groups that are ending, by name.
    pub ending: BTreeMap<Arc<str>, EndingGroup>,
    /// Groups that have ended; endpoints that still have a seat in them are free.
    pub ended: BTreeSet<Arc<str>>,
    /// Incomplete groups by name, with the time since when each is known to be incomplete.
    pub incomplete: BTreeMap<Arc<str>, Millis>,
    /// Endpoints that were ordered to load a model in advance.
    pub staging: BTreeMap<InstanceId, StagedLoad>,
    /// Loads from the weight store that may still run although their endpoint was ordered to do
    /// something else or hasn't answered, with the part `capacity`.
    pub detached_loads: BTreeMap<InstanceId, StagedLoad>,
    /// Pauses of endpoints that failed to carry out orders to load, with the part `capacity`.
    pub load_pauses: BTreeMap<InstanceId, LoadPause>,
    /// Loads from the weight store that the last planner knew of.
    pub known_loads: BTreeMap<InstanceId, KnownLoad>,
    /// Data halls that don't answer this router; nothing is planned there.
    pub unreachable_halls: BTreeSet<Arc<str>>,
    /// Groups that are open, and those that are lost.
    pub repairs: Repairs,
    /// Loads that are worth their cost and wait for the weight store, where they follow a schedule.
    pub loads_waiting: usize,
    /// Lost endpoints, with the time of the loss.
    pub lost: BTreeMap<InstanceId, Millis>,
    /// Free endpoints, while this router is the planner.
    pub idle: BTreeMap<InstanceId, IdleEndpoint>,
    /// Models whose groups are larger than every fabric domain, so that none can be formed.
    pub misfits: BTreeSet<Arc<str>>,
    /// When the needs of models are logged next.
    pub needs_due: Millis,
    /// Probes of endpoints.
    pub probes: BTreeMap<InstanceId, ProbeState>,
    /// Number of probes that await their answers.
    pub probes_pending: usize,
    /// Seats, with their model, in groups that this planner has opened, while the list doesn't
    /// show them yet.
    pub opened_seats: BTreeMap<InstanceId, (GroupSeat, Arc<str>)>,
    /// Endpoints that have reported to this planner.
    pub confirmed: BTreeMap<InstanceId, Confirmation>,
    /// Endpoints that have restarted since this router became the planner: the fences of its orders
    /// are forgotten there.
    pub restarted: BTreeSet<InstanceId>,
    /// Endpoints that have left a group, with the epoch of their seat there.
    pub left: BTreeMap<InstanceId, u64>,
    /// Heads that counted as gone when their groups ended, with the last sign of life of each.
    pub gone: BTreeMap<InstanceId, LifeSign>,
    /// Endpoints whose answer to an order to leave a group doesn't tell whether they have.
    pub doubted: BTreeMap<InstanceId, DoubtedSeat>,
    /// Whether another router may have planned before: endpoints may have orders of it.
    pub has_predecessor: bool,
    /// Orders that wait to be sent.
    pub order_queue: OrderQueue,
    /// Orders that await a result, by order number.
    pub orders: BTreeMap<u64, SentOrder>,
    /// Orders in a row that endpoints haven't answered.
    pub unanswered: BTreeMap<InstanceId, u32>,
    /// Number of orders by purpose and result, since this process started.
    pub counts: BTreeMap<(&'static str, &'static str), u64>,
    /// Budget of loads from the weight store.
    pub budget: LoadBudget,
    /// Times of recent losses of endpoints.
    pub recent_losses: VecDeque<Millis>,
    /// When a group was last traded.
    pub last_trade: Millis,
    /// The group that was last traded in each service and domain.
    pub traded_groups: BTreeMap<Place, Arc<str>>,
    /// The last place for which trades were weighed; none if the next pass starts with the first.
    pub trade_cursor: Option<Place>,
    /// Epochs given out so far under the planner lease.
    pub epochs_used: u64,
    /// Number of endpoints of engines at the last planning pass, and when it last changed.
    pub engine_count: (usize, Millis),
    /// Largest number of endpoints of engines so far.
    pub engine_peak: usize,
    /// Whether any router is known to have had a caller since this process started.
    pub has_traffic: bool,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

impl PlanState {
    /// Number of orders by purpose and result, for the metrics.
    pub fn order_counts(&self) -> impl Iterator<Item = LabelledCount> + '_ {
        self.counts
            .iter()
            .map(|((cause, outcome), count)| LabelledCount {
                name: "orders",
                labels: [("cause", cause), ("outcome", outcome)],
                count: *count,
            })
    }
}
