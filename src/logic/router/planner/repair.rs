//! Missing members: a spare fills the gap, or a less valuable group is given up.

use super::plan::wanted_kind;
use super::{Condition, Health, Plan, PlanInput};
use crate::logic::{Note, NoteCode};
use crate::types::{GroupId, GroupRecord, InstanceId, Member, Phase};

/// Fills the gaps of each broken group, the most valuable first.
pub(super) fn fill_gaps(input: &PlanInput<'_>, plan: &mut Plan) {
    let mut broken: Vec<_> = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Serving)
        .filter(|g| !serves(input, g))
        .map(|g| (value(input, g), g.id.clone()))
        .collect();
    broken.sort_by_key(|(value, id)| (std::cmp::Reverse(*value), id.clone()));
    for (_, id) in broken {
        repair(input, plan, &id);
    }
}

fn serves(input: &PlanInput<'_>, group: &GroupRecord) -> bool {
    matches!(
        input.condition_of(&group.id),
        Condition::Open | Condition::Outlived
    )
}

fn value(input: &PlanInput<'_>, group: &GroupRecord) -> u64 {
    input
        .body
        .model(&group.model)
        .map_or(0, |m| u64::from(m.value))
}

/// Members that have to be replaced now.
fn gaps(input: &PlanInput<'_>, group: &GroupRecord) -> Vec<InstanceId> {
    let ended = input.condition_of(&group.id) == Condition::Ended;
    let patience = input.patience_ms.min(group.load_ms.max(1));
    let lost = |id: &InstanceId| match input.health_of(id) {
        Health::Gone => true,
        Health::Silent(ms) => ms >= patience,
        // A leaving member stays until its group has drained.
        Health::Leaving => ended,
        Health::Live => false,
    };
    let members = group.members.iter().map(|m| &m.instance);
    members.filter(|id| lost(id)).cloned().collect()
}

fn repair(input: &PlanInput<'_>, plan: &mut Plan, id: &GroupId) {
    let Some(group) = plan.record.group(id).cloned() else {
        return;
    };
    let gaps = gaps(input, &group);
    if gaps.is_empty() {
        renew_ended(input, plan, &group);
        return;
    }
    let kind = wanted_kind(group.kind, &group.model);
    let spares: Vec<_> = input
        .spares(&plan.record, &kind)
        .iter()
        .map(|i| Member {
            instance: i.id.clone(),
            addr: i.addr,
        })
        .collect();
    if spares.len() >= gaps.len() {
        fill(plan, id, &gaps, &spares, "spare");
        return;
    }
    let needed = gaps.len() - spares.len();
    match given_up(input, plan, &group, needed) {
        Some(victim) => {
            let mut members = spares;
            members.extend(healthy(input, &victim));
            plan.record.groups.retain(|g| g.id != victim.id);
            let note = Note::new(NoteCode::GroupRetired)
                .with("group", &victim.id)
                .with("given_up_for", id);
            plan.notes.push(note);
            fill(plan, id, &gaps, &members, "given up");
        }
        None => abandon_if_hopeless(input, plan, &group, &gaps),
    }
}

fn fill(plan: &mut Plan, id: &GroupId, gaps: &[InstanceId], members: &[Member], from: &str) {
    for (gap, member) in gaps.iter().zip(members) {
        let note = Note::new(NoteCode::GroupRepaired)
            .with("group", id)
            .with("missing", gap)
            .with("member", &member.instance)
            .with("from", from);
        plan.notes.push(note);
        plan.replace(id, gap, member.clone());
    }
}

/// A group whose leader has ended it, with all members healthy, starts again.
fn renew_ended(input: &PlanInput<'_>, plan: &mut Plan, group: &GroupRecord) {
    if input.condition_of(&group.id) != Condition::Ended {
        return;
    }
    let epoch = plan.record.next_epoch();
    if let Some(group) = plan.record.group_mut(&group.id) {
        group.epoch = epoch;
        let note = Note::new(NoteCode::GroupPlanned)
            .with("group", &group.id)
            .with("epoch", epoch);
        plan.notes.push(note);
    }
}

fn healthy(input: &PlanInput<'_>, group: &GroupRecord) -> Vec<Member> {
    let live = |m: &&Member| input.health_of(&m.instance) == Health::Live;
    group.members.iter().filter(live).cloned().collect()
}

/// The group whose loss costs least and less than the repair is worth, by the
/// operators' own weights.
fn given_up(
    input: &PlanInput<'_>,
    plan: &Plan,
    broken: &GroupRecord,
    needed: usize,
) -> Option<GroupRecord> {
    if !input.trade {
        return None;
    }
    let mut best: Option<(i64, &GroupRecord)> = None;
    for other in &plan.record.groups {
        let fits = other.id != broken.id
            && other.kind == broken.kind
            && healthy(input, other).len() >= needed
            && input.condition_of(&other.id) != Condition::Outlived;
        if !fits {
            continue;
        }
        let gain = gain(input, broken, other, needed);
        if gain > 0 && best.is_none_or(|(most, _)| gain > most) {
            best = Some((gain, other));
        }
    }
    best.map(|(_, group)| group.clone())
}

/// What giving `other` up for `broken` saves, in the operators' cost a second.
fn gain(input: &PlanInput<'_>, broken: &GroupRecord, other: &GroupRecord, needed: usize) -> i64 {
    let measure = input.body.measure;
    let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let other_serves = serves(input, other);
    let won = signed(value(input, broken));
    let lost = if other_serves {
        signed(value(input, other))
    } else {
        0
    };
    let idle = |g: &GroupRecord| healthy(input, g).len() as i64;
    let stranded_before = idle(broken) + if other_serves { 0 } else { idle(other) };
    let stranded_after = idle(other) - needed as i64;
    i64::from(measure.downtime) * (won - lost)
        + i64::from(measure.stranded) * (stranded_before - stranded_after)
}

/// A draining wait that no spare can end frees its instances for other groups.
fn abandon_if_hopeless(
    input: &PlanInput<'_>,
    plan: &mut Plan,
    group: &GroupRecord,
    gaps: &[InstanceId],
) {
    let missing: Vec<_> = gaps.iter().map(|i| i.to_string()).collect();
    let note = Note::new(NoteCode::GroupWaits)
        .with("group", &group.id)
        .with("missing", missing.join(","));
    if input.condition_of(&group.id) == Condition::Ended {
        plan.record.groups.retain(|g| g.id != group.id);
        plan.record.next_epoch();
        plan.notes
            .push(Note::new(NoteCode::GroupRetired).with("group", &group.id));
    }
    plan.notes.push(note);
}
