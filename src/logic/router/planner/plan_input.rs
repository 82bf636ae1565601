use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Condition, Health, WorldView};
use crate::types::{BundleBody, DomainRecord, GroupId, Instance, InstanceId, Millis};

/// All that a plan for one fabric domain depends on.
#[derive(Clone, Debug)]
pub struct PlanInput<'a> {
    /// The bundle in force.
    pub body: &'a BundleBody,
    /// The domain's record.
    pub record: &'a DomainRecord,
    /// Listed instances of the domain.
    pub instances: Vec<&'a Instance>,
    /// Health of each instance that is listed or a member.
    pub health: BTreeMap<InstanceId, Health>,
    /// Condition of each group.
    pub conditions: BTreeMap<GroupId, Condition>,
    /// Groups whose endpoints fail to load.
    pub failing: Vec<GroupId>,
    /// Counts over the whole data hall, by model.
    pub hall: &'a BTreeMap<Arc<str>, WorldView>,
    /// Longest time a missing member is waited for, in milliseconds.
    pub patience_ms: Millis,
    /// Whether a group may be given up for a more valuable one.
    pub trade: bool,
}

impl PlanInput<'_> {
    /// Health of an instance; unknown ones count as gone.
    pub fn health_of(&self, id: &InstanceId) -> Health {
        self.health.get(id).copied().unwrap_or(Health::Gone)
    }

    /// Condition of a group; unknown ones count as lost.
    pub fn condition_of(&self, id: &GroupId) -> Condition {
        self.conditions.get(id).copied().unwrap_or(Condition::Lost)
    }

    /// Listed, live, answering instances of a kind outside any group of `record`.
    pub fn spares(&self, record: &DomainRecord, kind: &str) -> Vec<&Instance> {
        self.instances
            .iter()
            .filter(|i| &*i.kind == kind)
            .filter(|i| self.health_of(&i.id) == Health::Live)
            .filter(|i| record.group_of(&i.id).is_none())
            .copied()
            .collect()
    }
}
