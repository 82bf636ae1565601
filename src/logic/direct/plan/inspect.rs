//! Finds groups that need something: a repair, an orderly end, the next step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{look, retire, survey, Ending, EndingStep, Forming, GroupView, Seat};
use crate::logic::direct::DirectState;
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, SeatState};

/// Time that a group gets to become complete that an earlier planner began.
const PARTIAL_MS: Millis = 1_500;

/// Time that a group gets to load that an earlier planner began.
const ADOPTED_MS: Millis = 5_000;

/// Inspects every group that nothing is being done about.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let groups = survey::groups(state);
    state
        .plan
        .partial
        .retain(|name, _| groups.contains_key(name));
    for (name, group) in groups {
        let busy = state.plan.forming.contains_key(&name) || state.plan.ending.contains_key(&name);
        if !busy {
            one(state, now, &name, &group, out);
        }
    }
}

fn one(
    state: &mut DirectState,
    now: Millis,
    name: &Arc<str>,
    group: &GroupView,
    out: &mut Vec<Effect>,
) {
    let size = size(state, group);
    if !size.is_some_and(|size| group.complete(size)) {
        let since = *state.plan.partial.entry(name.clone()).or_insert(now);
        let limit = if size.is_some() {
            PARTIAL_MS
        } else {
            ADOPTED_MS
        };
        if !may_come(state, name, group) || now >= since + limit {
            retire::begin(state, now, name, group, false, out);
        }
        return;
    }
    state.plan.partial.remove(name);
    for seat in group.seats.values().filter(|s| !s.listed) {
        look::at(state, now, &seat.id, out);
    }
    match group.head().map(|h| h.state) {
        Some(SeatState::Open) if group.seats.values().any(|s| s.leaving) => {
            retire::begin(state, now, name, group, true, out);
        }
        Some(SeatState::Open) => {}
        Some(SeatState::Joining | SeatState::Ready) => adopt(state, now, name, group),
        Some(SeatState::Closing) => close(state, now, name, group),
        Some(SeatState::Broken) | None => {
            retire::begin(state, now, name, group, false, out);
        }
    }
}

/// Whether what a group lacks may still be listed: another planner has just
/// begun it, or the list has lost its head without this router missing it.
fn may_come(state: &DirectState, name: &Arc<str>, group: &GroupView) -> bool {
    let seat_of = |id: &InstanceId| state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    let missed = state
        .plan
        .lost
        .keys()
        .any(|id| seat_of(id).is_some_and(|s| s.group == *name));
    let begun = |s: SeatState| matches!(s, SeatState::Joining | SeatState::Ready);
    let under_way = |head: &Seat| begun(head.state) || !group.loaded();
    !missed && group.head().is_none_or(under_way)
}

/// Instances that a group needs; unknown while no member shows its model, as those
/// that are listed by then may not be all.
fn size(state: &DirectState, group: &GroupView) -> Option<usize> {
    let routing = state.routing.as_ref()?;
    let engine = routing.services.get(&group.service)?.engine.as_ref()?;
    Some(engine.model(group.model.as_ref()?)?.size)
}

/// Goes on with a group that another planner has begun.
fn adopt(state: &mut DirectState, now: Millis, name: &Arc<str>, group: &GroupView) {
    let members: Vec<InstanceId> = group.seats.values().map(|s| s.id.clone()).collect();
    let taken: BTreeSet<_> = members.iter().cloned().collect();
    let forming = Forming {
        epoch: group.epoch,
        service: group.service.clone(),
        domain: group.domain.clone(),
        model: group.model.clone().unwrap_or_else(|| Arc::from("")),
        members,
        taken,
        seen: BTreeMap::new(),
        asked: now,
        since: now,
        limit: now + ADOPTED_MS,
        opened: None,
        adopted: true,
    };
    state.plan.forming.insert(name.clone(), forming);
}

/// Goes on with a group that another planner has told to close.
fn close(state: &mut DirectState, now: Millis, name: &Arc<str>, group: &GroupView) {
    let others = group.seats.values().skip(1);
    let ending = Ending {
        epoch: group.epoch,
        head: group.head().map(|h| h.id.clone()),
        others: others.map(|s| s.id.clone()).collect(),
        step: EndingStep::Closing,
        since: now,
        asked: now,
        left: None,
    };
    state.plan.ending.insert(name.clone(), ending);
}
