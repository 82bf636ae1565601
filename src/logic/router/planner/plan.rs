use super::{form, repair, retire, PlanInput};
use crate::logic::LogEvent;
use crate::types::{DomainRecord, GroupId, GroupRecord, InstanceId, Member, ModelKind, ModelSpec};

/// A changed record, with the log events that explain the change.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The record to write.
    pub record: DomainRecord,
    /// Events that name each change, to be logged when the write is sent.
    pub log_events: Vec<LogEvent>,
}

/// Plans the changes of one domain.
///
/// Returns `None` when nothing changes, or when the result would put an instance into two groups.
/// The cheapest changes come first: ended groups are removed, lost members are replaced by
/// spares or by the members of a group whose dissolution has a positive gain, new groups are
/// formed, and a surplus or outdated group is drained.
pub fn plan(input: &PlanInput<'_>) -> Option<Plan> {
    let mut plan = Plan {
        record: input.record.clone(),
        log_events: Vec::new(),
    };
    retire::remove_ended(input, &mut plan);
    repair::repair_groups(input, &mut plan);
    form::form_groups(input, &mut plan);
    retire::drain_surplus(input, &mut plan);
    let valid = plan.record.shared_instance().is_none();
    (plan.record != *input.record && valid).then_some(plan)
}

/// Value of [`Instance::kind`](crate::types::Instance) that a model's members must have.
pub(super) fn wanted_kind(kind: ModelKind, model: &str) -> String {
    match kind {
        ModelKind::Engine => crate::types::Instance::ENGINE.to_string(),
        ModelKind::Service => format!("service:{model}"),
    }
}

/// Whether a group's record matches the bundle's specification of its model.
pub(super) fn is_current(group: &GroupRecord, spec: &ModelSpec) -> bool {
    group.version == spec.version
        && group.kind == spec.kind
        && group.role == spec.role
        && group.adapters == spec.adapters
        && group.members.len() == spec.instances as usize
}

impl Plan {
    /// Replaces one member under a new epoch.
    pub(super) fn replace(&mut self, group: &GroupId, old: &InstanceId, new: Member) {
        let epoch = self.record.next_epoch();
        let Some(group) = self.record.group_mut(group) else {
            return;
        };
        if let Some(member) = group.members.iter_mut().find(|m| &m.instance == old) {
            *member = new;
        }
        group.epoch = epoch;
    }
}
