use std::sync::Arc;

use crate::types::InstanceId;

/// An order of the planner to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupOrder {
    /// What the endpoint has to do.
    pub what: GroupStep,
    /// Its fence, above those of all earlier orders of any planner: an endpoint that has seen it refuses
    /// them.
    pub fence: u64,
    /// Number of orders that the endpoint must have begun so far; it refuses this one otherwise.
    pub expected: Option<u64>,
}

/// What an order tells an endpoint to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GroupStep {
    /// Join a group.
    Join {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
        /// The model to load.
        model: Arc<str>,
        /// All members, the head first.
        members: Vec<InstanceId>,
    },
    /// Take requests. Sent to the head.
    Open {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Take no more requests and finish those under way. Sent to the head.
    Close {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Leave the group at once.
    Leave {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model from the weight store to the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}
