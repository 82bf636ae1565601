//! Finds groups that need something: a repair, an orderly end, the next step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{
    confirmation, probe, retire, survey, EndingGroup, EndingStep, FormingGroup, GroupMember,
    GroupView,
};
use crate::logic::direct::DirectState;
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, SeatState};

/// Time that an incomplete group begun by an earlier planner gets to become complete.
const INCOMPLETE_LIMIT_MS: Millis = 1_500;

/// Time that a group begun by an earlier planner gets to load its model.
const ADOPTED_LIMIT_MS: Millis = 5_000;

/// Inspects every group that is neither being formed nor ending.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let groups = survey::groups(state);
    state
        .plan
        .incomplete
        .retain(|name, _| groups.contains_key(name));
    for (name, group) in groups {
        let is_handled =
            state.plan.forming.contains_key(&name) || state.plan.ending.contains_key(&name);
        if !is_handled {
            inspect_group(state, now, &name, &group, out);
        }
    }
}

fn inspect_group(
    state: &mut DirectState,
    now: Millis,
    name: &Arc<str>,
    group: &GroupView,
    out: &mut Vec<Effect>,
) {
    let size = group_size(state, group);
    if !size.is_some_and(|size| group.complete(size)) {
        let since = *state.plan.incomplete.entry(name.clone()).or_insert(now);
        let limit = if size.is_some() {
            INCOMPLETE_LIMIT_MS
        } else {
            ADOPTED_LIMIT_MS
        };
        if !can_complete(state, name, group) || now >= since + limit {
            if is_reached_by_others(state, now, name, group, out) {
                return;
            }
            let drain = works_without_missing(state, name, group, since);
            retire::begin(state, now, name, group, drain, out);
        }
        return;
    }
    state.plan.incomplete.remove(name);
    for seat in group.seats.values().filter(|s| !s.listed) {
        probe::send_if_due(state, now, &seat.id, out);
    }
    match group.head().map(|h| h.state) {
        Some(SeatState::Open) if group.seats.values().any(|s| s.leaving) => {
            retire::begin(state, now, name, group, true, out);
        }
        Some(SeatState::Open) => {}
        Some(SeatState::Joining | SeatState::Ready) => adopt(state, now, name, group),
        Some(SeatState::Closing) => adopt_ending(state, now, name, group),
        Some(SeatState::Broken) | None => {
            retire::begin(state, now, name, group, false, out);
        }
    }
}

/// Whether the open head of an incomplete group has sent something to this router after its missing
/// members didn't answer a probe, or after they were last listed. Without them it would stand still, so
/// only this router doesn't reach them.
fn works_without_missing(
    state: &DirectState,
    name: &Arc<str>,
    group: &GroupView,
    incomplete_since: Millis,
) -> bool {
    let missing = lost_members(state, name);
    let probed_at = missing.filter_map(|id| Some(state.plan.probes.get(id)?.sent_at));
    let missing_since = probed_at.max().unwrap_or(incomplete_since);
    let head = group.head().filter(|h| h.state == SeatState::Open);
    let view = head.and_then(|h| state.endpoints.get(&h.id));
    view.is_some_and(|v| v.running > 0 && v.responded_at > missing_since)
}

/// The members of a group that are lost.
fn lost_members<'a>(
    state: &'a DirectState,
    name: &'a Arc<str>,
) -> impl Iterator<Item = &'a InstanceId> {
    state.plan.lost.keys().filter(|id| {
        let seat = state.endpoints.get(*id).and_then(|v| v.entry.seat.as_ref());
        seat.is_some_and(|s| s.group == *name)
    })
}

/// Whether the lost members of an open group answer other routers, or may do so: only this router doesn't
/// reach them then. They are probed further, so that their loss is noticed.
fn is_reached_by_others(
    state: &mut DirectState,
    now: Millis,
    name: &Arc<str>,
    group: &GroupView,
    out: &mut Vec<Effect>,
) -> bool {
    let is_open = group.head().is_some_and(|h| h.state == SeatState::Open);
    let missing: Vec<_> = lost_members(state, name).cloned().collect();
    let is_reached = |id: &InstanceId| {
        probe::is_found_alive(state, id) || probe::awaits_observations(state, now, id)
    };
    if !is_open || missing.is_empty() || !missing.iter().all(is_reached) {
        return false;
    }
    for id in &missing {
        probe::send_if_due(state, now, id, out);
    }
    true
}

/// Whether an incomplete group may still become complete in the list: none of its members
/// is lost, and either an earlier planner has just begun it, or the list lacks its head or other
/// members, which have yet to report.
fn can_complete(state: &DirectState, name: &Arc<str>, group: &GroupView) -> bool {
    let has_lost = lost_members(state, name).next().is_some();
    let is_begun = |s: SeatState| matches!(s, SeatState::Joining | SeatState::Ready);
    let is_forming = |head: &GroupMember| is_begun(head.state) || !group.loaded();
    let may_grow =
        group.head().is_none_or(is_forming) || confirmation::awaits_members(state, group);
    !has_lost && may_grow
}

/// Number of members that a group needs. Unknown while no member shows the model; the
/// members listed so far may not be all.
fn group_size(state: &DirectState, group: &GroupView) -> Option<usize> {
    survey::model_size(state, &group.service, group.model.as_ref()?)
}

/// Continues to form a group that another planner has begun.
fn adopt(state: &mut DirectState, now: Millis, name: &Arc<str>, group: &GroupView) {
    let members: Vec<InstanceId> = group.seats.values().map(|s| s.id.clone()).collect();
    let accepted: BTreeSet<_> = members.iter().cloned().collect();
    let forming = FormingGroup {
        epoch: group.epoch,
        service: group.service.clone(),
        domain: group.domain.clone(),
        model: group.model.clone().unwrap_or_else(|| Arc::from("")),
        members,
        accepted,
        reported: BTreeMap::new(),
        ordered_at: now,
        started_at: now,
        deadline: now + ADOPTED_LIMIT_MS,
        open_sent: None,
        adopted: true,
    };
    state.plan.forming.insert(name.clone(), forming);
}

/// Continues to end a group whose head another planner has ordered to close.
fn adopt_ending(state: &mut DirectState, now: Millis, name: &Arc<str>, group: &GroupView) {
    let others = group.seats.values().skip(1);
    let ending = EndingGroup {
        epoch: group.epoch,
        head: group.head().map(|h| h.id.clone()),
        others: others.map(|s| s.id.clone()).collect(),
        drains: true,
        step: EndingStep::Closing,
        step_since: now,
        began_at: now,
        ordered_at: now,
        left_at: None,
    };
    state.plan.ending.insert(name.clone(), ending);
}
