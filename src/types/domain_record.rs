use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupId, GroupRecord, InstanceId};

/// All groups of one fabric domain: a single value, changed by compare-and-swap.
///
/// One value per domain makes "no instance in two groups" a property of that value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DomainRecord {
    /// The fabric domain's name.
    pub domain: Arc<str>,
    /// Data hall it stands in.
    pub hall: Arc<str>,
    /// Highest epoch and group number given out so far.
    pub epoch: u64,
    /// Groups in order of their number.
    pub groups: Vec<GroupRecord>,
}

impl DomainRecord {
    /// An empty record for a domain that has none yet.
    pub fn empty(domain: &str, hall: &str) -> Self {
        Self {
            domain: Arc::from(domain),
            hall: Arc::from(hall),
            epoch: 0,
            groups: Vec::new(),
        }
    }

    /// Takes the next epoch.
    pub fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Finds a group.
    pub fn group(&self, id: &GroupId) -> Option<&GroupRecord> {
        self.groups.iter().find(|g| &g.id == id)
    }

    /// Finds a group to change it.
    pub fn group_mut(&mut self, id: &GroupId) -> Option<&mut GroupRecord> {
        self.groups.iter_mut().find(|g| &g.id == id)
    }

    /// The group an instance belongs to.
    pub fn group_of(&self, instance: &InstanceId) -> Option<&GroupRecord> {
        self.groups.iter().find(|g| g.has(instance))
    }

    /// The first instance found in two groups or twice in one, if any.
    pub fn shared_instance(&self) -> Option<&InstanceId> {
        let mut seen = BTreeSet::new();
        self.groups
            .iter()
            .flat_map(|g| &g.members)
            .map(|m| &m.instance)
            .find(|i| !seen.insert(*i))
    }
}
