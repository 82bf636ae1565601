//! Removes ended groups from the record, and drains surplus and outdated groups one at a time.

use super::plan::is_current;
use super::{GroupCondition, Plan, PlanInput};
use crate::logic::{LogCode, LogEvent};
use crate::types::{GroupRecord, Phase};

/// Removes draining groups from the record that have ended or that nobody serves any more.
pub(super) fn remove_ended(input: &PlanInput<'_>, plan: &mut Plan) {
    let ended: Vec<_> = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Draining)
        .filter(|g| {
            matches!(
                input.condition_of(&g.id),
                GroupCondition::Ended | GroupCondition::Unreachable
            )
        })
        .map(|g| g.id.clone())
        .collect();
    for id in ended {
        plan.record.groups.retain(|g| g.id != id);
        // The record's epoch grows, so that a leader that still leads the group when it connects
        // again is told to release it.
        plan.record.next_epoch();
        plan.log_events
            .push(LogEvent::new(LogCode::GroupRetired).with("group", &id));
    }
}

/// Drains a group that the bundle doesn't want, at most one per plan.
pub(super) fn drain_surplus(input: &PlanInput<'_>, plan: &mut Plan) {
    let surplus = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Serving)
        .find(|g| {
            input.condition_of(&g.id) != GroupCondition::LeaderUnreachable && is_unwanted(input, g)
        })
        .map(|g| g.id.clone());
    let Some(id) = surplus else {
        return;
    };
    if let Some(group) = plan.record.group_mut(&id) {
        group.phase = Phase::Draining;
    }
    plan.log_events
        .push(LogEvent::new(LogCode::GroupDrainPlanned).with("group", &id));
}

fn is_unwanted(input: &PlanInput<'_>, group: &GroupRecord) -> bool {
    let Some(spec) = input.body.model(&group.model) else {
        return true;
    };
    let counts = input
        .model_counts
        .get(&group.model)
        .copied()
        .unwrap_or_default();
    if is_current(group, spec) {
        return counts.current > spec.per_hall;
    }
    // Draining an outdated group must leave at least `floor` groups open, unless it isn't open
    // itself. It begins once new groups have replaced it, or while no group of the model drains,
    // loads or fails to load, so that the next new group can be formed from its instances.
    let open = counts.current_open + counts.old_open;
    let keeps_floor = input.condition_of(&group.id) != GroupCondition::Open || open > spec.floor;
    let loading = counts.current > counts.current_open;
    let replaced = counts.current_open >= spec.per_hall;
    let may_start = counts.draining == 0 && !loading && counts.failing == 0;
    keeps_floor && (replaced || may_start)
}
