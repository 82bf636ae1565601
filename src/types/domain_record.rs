use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{GroupId, GroupRecord, InstanceId};

/// All groups of one fabric domain, stored as a single value that is changed by
/// compare-and-swap.
///
/// As all groups of a domain are in one value, one write can guarantee that no instance
/// belongs to two groups.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DomainRecord {
    /// Name of the fabric domain.
    pub domain: Arc<str>,
    /// Data hall of the domain.
    pub hall: Arc<str>,
    /// Highest epoch or group number assigned so far; both are drawn from this counter.
    pub epoch: u64,
    /// Groups of the domain, ordered by number.
    pub groups: Vec<GroupRecord>,
}

impl DomainRecord {
    /// Creates the record of a domain without groups.
    pub fn empty(domain: &str, hall: &str) -> Self {
        Self {
            domain: Arc::from(domain),
            hall: Arc::from(hall),
            epoch: 0,
            groups: Vec::new(),
        }
    }

    /// Assigns the next epoch.
    pub fn next_epoch(&mut self) -> u64 {
        self.epoch += 1;
        self.epoch
    }

    /// Finds a group by its id.
    pub fn group(&self, id: &GroupId) -> Option<&GroupRecord> {
        self.groups.iter().find(|g| &g.id == id)
    }

    /// Finds a group by its id, for modification.
    pub fn group_mut(&mut self, id: &GroupId) -> Option<&mut GroupRecord> {
        self.groups.iter_mut().find(|g| &g.id == id)
    }

    /// Finds the group that an instance is a member of.
    pub fn group_of(&self, instance: &InstanceId) -> Option<&GroupRecord> {
        self.groups.iter().find(|g| g.has(instance))
    }

    /// Finds an instance that is listed twice, in two groups or in the same one.
    pub fn shared_instance(&self) -> Option<&InstanceId> {
        let mut seen = BTreeSet::new();
        self.groups
            .iter()
            .flat_map(|g| &g.members)
            .map(|m| &m.instance)
            .find(|i| !seen.insert(*i))
    }
}
