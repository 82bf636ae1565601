//! Groups that leave: ended ones, surplus ones, old versions one at a time.

use super::plan::is_current;
use super::{Condition, Plan, PlanInput};
use crate::logic::{Note, NoteCode};
use crate::types::{GroupRecord, Phase};

/// Takes draining groups that have ended out of the record.
pub(super) fn remove_ended(input: &PlanInput<'_>, plan: &mut Plan) {
    let ended: Vec<_> = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Draining)
        .filter(|g| {
            matches!(
                input.condition_of(&g.id),
                Condition::Ended | Condition::Lost
            )
        })
        .map(|g| g.id.clone())
        .collect();
    for id in ended {
        plan.record.groups.retain(|g| g.id != id);
        // The epoch moves on, so that a late leader learns that its group is gone.
        plan.record.next_epoch();
        plan.notes
            .push(Note::new(NoteCode::GroupRetired).with("group", &id));
    }
}

/// Drains groups that the bundle doesn't want, at most one a plan.
pub(super) fn drain_surplus(input: &PlanInput<'_>, plan: &mut Plan) {
    let surplus = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Serving)
        .find(|g| input.condition_of(&g.id) != Condition::Outlived && unwanted(input, g))
        .map(|g| g.id.clone());
    let Some(id) = surplus else {
        return;
    };
    if let Some(group) = plan.record.group_mut(&id) {
        group.phase = Phase::Draining;
    }
    plan.notes
        .push(Note::new(NoteCode::GroupDrainPlanned).with("group", &id));
}

fn unwanted(input: &PlanInput<'_>, group: &GroupRecord) -> bool {
    let Some(spec) = input.body.model(&group.model) else {
        return true;
    };
    let hall = input.hall.get(&group.model).copied().unwrap_or_default();
    if is_current(group, spec) {
        return hall.current > spec.per_hall;
    }
    // An old version goes when new groups have taken its place, or when the
    // floor leaves room to drain one and form the next from its instances.
    let open = hall.current_open + hall.old_open;
    let stays_open = input.condition_of(&group.id) != Condition::Open || open > spec.floor;
    let loading = hall.current > hall.current_open;
    let replaced = hall.current_open >= spec.per_hall;
    let turn = hall.draining == 0 && !loading && hall.failing == 0;
    stays_open && (replaced || turn)
}
