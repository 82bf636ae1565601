//! Replaces lost members by spares, or by the members of a group that is dissolved for them.

use super::plan::wanted_kind;
use super::{GroupCondition, InstanceHealth, Plan, PlanInput};
use crate::logic::{LogCode, LogEvent};
use crate::types::{GroupId, GroupRecord, InstanceId, Member, Phase};

/// Repairs each group in phase `Serving` whose condition is neither `Open` nor `LeaderUnreachable`,
/// the most valuable first.
pub(super) fn repair_groups(input: &PlanInput<'_>, plan: &mut Plan) {
    let mut broken: Vec<_> = plan
        .record
        .groups
        .iter()
        .filter(|g| g.phase == Phase::Serving)
        .filter(|g| !is_serving(input, g))
        .map(|g| (group_value(input, g), g.id.clone()))
        .collect();
    broken.sort_by_key(|(value, id)| (std::cmp::Reverse(*value), id.clone()));
    for (_, id) in broken {
        repair_group(input, plan, &id);
    }
}

fn is_serving(input: &PlanInput<'_>, group: &GroupRecord) -> bool {
    matches!(
        input.condition_of(&group.id),
        GroupCondition::Open | GroupCondition::LeaderUnreachable
    )
}

fn group_value(input: &PlanInput<'_>, group: &GroupRecord) -> u64 {
    input
        .body
        .model(&group.model)
        .map_or(0, |m| u64::from(m.value))
}

/// Members that have to be replaced now.
///
/// A silent member is waited for until `patience_ms`, or the time that the group takes to load its
/// weights if that is shorter.
fn lost_members(input: &PlanInput<'_>, group: &GroupRecord) -> Vec<InstanceId> {
    let ended = input.condition_of(&group.id) == GroupCondition::Ended;
    let wait_limit = input.patience_ms.min(group.load_ms.max(1));
    let is_lost = |id: &InstanceId| match input.health_of(id) {
        InstanceHealth::Gone => true,
        InstanceHealth::Silent(ms) => ms >= wait_limit,
        // A leaving member keeps its place until its group has drained.
        InstanceHealth::Leaving => ended,
        InstanceHealth::Live => false,
    };
    let members = group.members.iter().map(|m| &m.instance);
    members.filter(|id| is_lost(id)).cloned().collect()
}

fn repair_group(input: &PlanInput<'_>, plan: &mut Plan, id: &GroupId) {
    let Some(group) = plan.record.group(id).cloned() else {
        return;
    };
    let lost = lost_members(input, &group);
    if lost.is_empty() {
        restart_ended(input, plan, &group);
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
    if spares.len() >= lost.len() {
        replace_members(plan, id, &lost, &spares, "spare");
        return;
    }
    let needed = lost.len() - spares.len();
    match group_to_dissolve(input, plan, &group, needed) {
        Some(dissolved) => {
            let mut replacements = spares;
            replacements.extend(live_members(input, &dissolved));
            plan.record.groups.retain(|g| g.id != dissolved.id);
            let event = LogEvent::new(LogCode::GroupRetired)
                .with("group", &dissolved.id)
                .with("given_up_for", id);
            plan.log_events.push(event);
            replace_members(plan, id, &lost, &replacements, "given up");
        }
        None => wait_or_remove(input, plan, &group, &lost),
    }
}

fn replace_members(
    plan: &mut Plan,
    id: &GroupId,
    lost: &[InstanceId],
    replacements: &[Member],
    from: &str,
) {
    for (old, new) in lost.iter().zip(replacements) {
        let event = LogEvent::new(LogCode::GroupRepaired)
            .with("group", id)
            .with("missing", old)
            .with("member", &new.instance)
            .with("from", from);
        plan.log_events.push(event);
        plan.replace(id, old, new.clone());
    }
}

/// Starts a group again, under a new epoch, that its leader has ended and that needs no new member.
fn restart_ended(input: &PlanInput<'_>, plan: &mut Plan, group: &GroupRecord) {
    if input.condition_of(&group.id) != GroupCondition::Ended {
        return;
    }
    let epoch = plan.record.next_epoch();
    if let Some(group) = plan.record.group_mut(&group.id) {
        group.epoch = epoch;
        let event = LogEvent::new(LogCode::GroupPlanned)
            .with("group", &group.id)
            .with("epoch", epoch);
        plan.log_events.push(event);
    }
}

fn live_members(input: &PlanInput<'_>, group: &GroupRecord) -> Vec<Member> {
    let live = |m: &&Member| input.health_of(&m.instance) == InstanceHealth::Live;
    group.members.iter().filter(live).cloned().collect()
}

/// The group to dissolve so that its live members repair `broken`.
///
/// It is the one with the highest gain by the operators' weights; `None` when no gain is positive.
fn group_to_dissolve(
    input: &PlanInput<'_>,
    plan: &Plan,
    broken: &GroupRecord,
    needed: usize,
) -> Option<GroupRecord> {
    if !input.allow_trade {
        return None;
    }
    let mut best: Option<(i64, &GroupRecord)> = None;
    for other in &plan.record.groups {
        let fits = other.id != broken.id
            && other.kind == broken.kind
            && live_members(input, other).len() >= needed
            && input.condition_of(&other.id) != GroupCondition::LeaderUnreachable;
        if !fits {
            continue;
        }
        let gain = gain(input, broken, other, needed);
        if gain > 0 && best.is_none_or(|(highest, _)| gain > highest) {
            best = Some((gain, other));
        }
    }
    best.map(|(_, group)| group.clone())
}

/// Gain of dissolving `other` to repair `broken`, in the operators' cost per second.
///
/// It weighs the value of the group that serves afterwards against the one that did before, and
/// the number of live instances that are stranded, that is, outside any group that serves.
fn gain(input: &PlanInput<'_>, broken: &GroupRecord, other: &GroupRecord, needed: usize) -> i64 {
    let measure = input.body.measure;
    let signed = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let other_serves = is_serving(input, other);
    let gained = signed(group_value(input, broken));
    let lost = if other_serves {
        signed(group_value(input, other))
    } else {
        0
    };
    let live_count = |g: &GroupRecord| live_members(input, g).len() as i64;
    let stranded_before = live_count(broken) + if other_serves { 0 } else { live_count(other) };
    let stranded_after = live_count(other) - needed as i64;
    i64::from(measure.downtime) * (gained - lost)
        + i64::from(measure.stranded) * (stranded_before - stranded_after)
}

/// Logs that a group waits for members that can't be replaced now.
///
/// A group that its leader has ended is removed, so that its instances can serve in other groups.
fn wait_or_remove(
    input: &PlanInput<'_>,
    plan: &mut Plan,
    group: &GroupRecord,
    lost: &[InstanceId],
) {
    let missing: Vec<_> = lost.iter().map(|i| i.to_string()).collect();
    let event = LogEvent::new(LogCode::GroupWaits)
        .with("group", &group.id)
        .with("missing", missing.join(","));
    if input.condition_of(&group.id) == GroupCondition::Ended {
        plan.record.groups.retain(|g| g.id != group.id);
        plan.record.next_epoch();
        plan.log_events
            .push(LogEvent::new(LogCode::GroupRetired).with("group", &group.id));
    }
    plan.log_events.push(event);
}
