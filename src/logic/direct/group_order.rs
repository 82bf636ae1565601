use std::sync::Arc;

use crate::types::InstanceId;

/// An order about groups to one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct GroupOrder {
    /// What is to be done.
    pub what: GroupStep,
    /// Fence of the planner that gives it; only grows from planner to planner.
    pub fence: u64,
}

/// What an endpoint is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GroupStep {
    /// Take a place in a group.
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
    /// Take requests; for the head.
    Open {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Take no more requests and finish what is there; for the head.
    Close {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Give the place up at once.
    Leave {
        /// Name of the group.
        group: Arc<str>,
        /// Its epoch.
        epoch: u64,
    },
    /// Load a model to the host.
    Stage {
        /// The model.
        model: Arc<str>,
    },
}
