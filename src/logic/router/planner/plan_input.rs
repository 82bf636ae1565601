use std::collections::BTreeMap;
use std::sync::Arc;

use super::{GroupCondition, InstanceHealth, ModelCounts};
use crate::types::{BundleBody, DomainRecord, GroupId, Instance, InstanceId, Millis};

/// Everything that a plan for one fabric domain depends on.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The bundle in force.
    pub body: &'a BundleBody,
    /// The domain's record.
    pub record: &'a DomainRecord,
    /// Listed instances of the domain.
    pub instances: Vec<&'a Instance>,
    /// Health of each instance that is listed or a group member.
    pub health: BTreeMap<InstanceId, InstanceHealth>,
    /// Condition of each group.
    pub conditions: BTreeMap<GroupId, GroupCondition>,
    /// Groups with a member whose endpoint failed to load.
    pub failing: Vec<GroupId>,
    /// Counts over the whole data hall, by model.
    pub model_counts: &'a BTreeMap<Arc<str>, ModelCounts>,
    /// Longest time for which a silent member keeps its place, in milliseconds.
    pub patience_ms: Millis,
    /// Whether a group may be dissolved to repair another one, if the gain by the operators'
    /// weights is positive.
    pub allow_trade: bool,
}

impl PlanInput<'_> {
    /// Health of an instance; an unknown one is [`InstanceHealth::Gone`].
    pub fn health_of(&self, id: &InstanceId) -> InstanceHealth {
        self.health.get(id).copied().unwrap_or(InstanceHealth::Gone)
    }

    /// Condition of a group; an unknown one is [`GroupCondition::Unreachable`].
    pub fn condition_of(&self, id: &GroupId) -> GroupCondition {
        self.conditions
            .get(id)
            .copied()
            .unwrap_or(GroupCondition::Unreachable)
    }

    /// Instances of a kind that are [`InstanceHealth::Live`] and in no group of `record`.
    pub fn spares(&self, record: &DomainRecord, kind: &str) -> Vec<&Instance> {
        self.instances
            .iter()
            .filter(|i| &*i.kind == kind)
            .filter(|i| self.health_of(&i.id) == InstanceHealth::Live)
            .filter(|i| record.group_of(&i.id).is_none())
            .copied()
            .collect()
    }
}
