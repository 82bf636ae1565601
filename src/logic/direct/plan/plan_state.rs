use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::survey::Place;
use super::{Duty, Ending, Forming, Idle, LoadBudget, Look, OrderUse, Staging};
use crate::observe::LabelledCount;
use crate::types::{GroupSeat, InstanceId, Millis};

/// What a planner knows beside the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PlanState {
    /// The planner's lease.
    pub duty: Duty,
    /// Whether this router has had the duty at the last look.
    pub held: bool,
    /// When the list is read whole next, while it is older than the duty.
    pub read_at: Millis,
    /// When the groups are looked at next.
    pub look_at: Millis,
    /// Groups that are being formed, by name.
    pub forming: BTreeMap<Arc<str>, Forming>,
    /// Groups that are being given up, by name.
    pub ending: BTreeMap<Arc<str>, Ending>,
    /// Groups that are over; whoever still has a place in them is free.
    pub ended: BTreeSet<Arc<str>>,
    /// When a group was first seen that isn't complete.
    pub partial: BTreeMap<Arc<str>, Millis>,
    /// Endpoints that were told to load a model.
    pub staging: BTreeMap<InstanceId, Staging>,
    /// Endpoints that don't answer, since when.
    pub lost: BTreeMap<InstanceId, Millis>,
    /// Endpoints that serve in no group, while this router plans.
    pub idle: BTreeMap<InstanceId, Idle>,
    /// When the needs of models are logged next.
    pub needs_at: Millis,
    /// Looks at endpoints.
    pub looks: BTreeMap<InstanceId, Look>,
    /// Places, with their model, in groups that this planner has opened and the list
    /// doesn't show yet.
    pub seats: BTreeMap<InstanceId, (GroupSeat, Arc<str>)>,
    /// Orders that haven't been answered.
    pub orders: BTreeMap<u64, OrderUse>,
    /// Orders by what they were for and what came of them, in this life of the process.
    pub counts: BTreeMap<(&'static str, &'static str), u64>,
    /// Loads from the weight store that may begin.
    pub budget: LoadBudget,
    /// When endpoints of engines were lost lately.
    pub deaths: VecDeque<Millis>,
    /// When a group was last traded for others.
    pub traded: Millis,
    /// The group that was last traded in each service and domain.
    pub trades: BTreeMap<Place, Arc<str>>,
    /// The last place in which trades were weighed; none once all have been.
    pub weighed: Option<Place>,
    /// Groups named so far under this fence.
    pub named: u64,
    /// Endpoints of engines at the last look, and when their number last changed.
    pub count: (usize, Millis),
    /// Most endpoints of engines that were there at once.
    pub most: usize,
    /// Whether a caller has been seen since the start of this process.
    pub traffic: bool,
    /// Whether the whole system starts for the first time.
    pub first: bool,
}

impl PlanState {
    /// Orders given so far, for the metrics.
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
