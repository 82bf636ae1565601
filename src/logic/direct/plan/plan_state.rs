use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::survey::Place;
use super::{
    EndingGroup, FormingGroup, IdleEndpoint, LoadBudget, OrderUse, PlannerLease, ProbeState,
    StagedLoad,
};
use crate::observe::LabelledCount;
use crate::types::{GroupSeat, InstanceId, Millis};

/// State of the planner beside the endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlanState {
    /// The planner lease.
    pub duty: PlannerLease,
    /// Whether this router held the planner lease at the last tick.
    pub held: bool,
    /// When the whole list may be requested again, while it is older than the planner lease.
    pub read_at: Millis,
    /// When the next planning pass is due.
    pub look_at: Millis,
    /// Groups that are being formed, by name.
    pub forming: BTreeMap<Arc<str>, FormingGroup>,
    /// Groups that are ending, by name.
    pub ending: BTreeMap<Arc<str>, EndingGroup>,
    /// Groups that have ended; endpoints that still have a seat in them are free.
    pub ended: BTreeSet<Arc<str>>,
    /// Incomplete groups by name, with the time since when each is known to be incomplete.
    pub partial: BTreeMap<Arc<str>, Millis>,
    /// Endpoints that were ordered to load a model in advance.
    pub staging: BTreeMap<InstanceId, StagedLoad>,
    /// Lost endpoints, with the time of the loss.
    pub lost: BTreeMap<InstanceId, Millis>,
    /// Free endpoints, while this router is the planner.
    pub idle: BTreeMap<InstanceId, IdleEndpoint>,
    /// When the needs of models are logged next.
    pub needs_at: Millis,
    /// Probes of endpoints.
    pub looks: BTreeMap<InstanceId, ProbeState>,
    /// Seats, with their model, in groups that this planner has opened, while the list doesn't
    /// show them yet.
    pub seats: BTreeMap<InstanceId, (GroupSeat, Arc<str>)>,
    /// Purposes of the orders that await a result, by order number.
    pub orders: BTreeMap<u64, OrderUse>,
    /// Number of orders by purpose and result, since this process started.
    pub counts: BTreeMap<(&'static str, &'static str), u64>,
    /// Budget of loads from the weight store.
    pub budget: LoadBudget,
    /// Times of recent losses of endpoints.
    pub deaths: VecDeque<Millis>,
    /// When a group was last traded.
    pub traded: Millis,
    /// The group that was last traded in each service and domain.
    pub trades: BTreeMap<Place, Arc<str>>,
    /// The last place for which trades were weighed; none if the next pass starts with the first.
    pub weighed: Option<Place>,
    /// Epochs given out so far by this router.
    pub named: u64,
    /// Number of endpoints of engines at the last planning pass, and when it last changed.
    pub count: (usize, Millis),
    /// Largest number of endpoints of engines so far.
    pub most: usize,
    /// Whether any router is known to have had a caller since this process started.
    pub traffic: bool,
    /// Whether the whole system starts for the first time.
    pub first: bool,
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
