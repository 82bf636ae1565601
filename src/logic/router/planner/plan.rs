use super::{form, repair, retire, PlanInput};
use crate::logic::Note;
use crate::types::{DomainRecord, GroupId, GroupRecord, InstanceId, Member, ModelKind, ModelSpec};

/// A changed record with the reasons for the change.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The record to write.
    pub record: DomainRecord,
    /// Why.
    pub notes: Vec<Note>,
}

/// Decides what to change in one domain; `None` when nothing is to be changed.
///
/// Cheapest first: ended groups leave, spares fill gaps, a group is given up
/// for a more valuable one, new groups are formed, old versions are drained.
pub fn plan(input: &PlanInput<'_>) -> Option<Plan> {
    let mut plan = Plan {
        record: input.record.clone(),
        notes: Vec::new(),
    };
    retire::remove_ended(input, &mut plan);
    repair::fill_gaps(input, &mut plan);
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

/// Whether a group's record is what the bundle asks for.
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
