//! How long it takes until lost groups are replaced, for services with the part `capacity`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::{scheduled, survey, IdleReason};
use crate::logic::direct::{DirectState, EndpointView};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Millis, SeatState};

/// Most lost groups that are remembered; the oldest are dropped first.
const MAX_LOST: usize = 64;

/// Time after which a lost group isn't expected to be replaced any more: the demand for it is gone.
const LOST_VALID_MS: Millis = 60_000;

/// The model of a group, and since when it has been open or lost.
type ModelSince = (Arc<str>, Millis);

/// Open groups, and those that were lost and not replaced yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Repairs {
    /// Open groups with the time since when each is known to be open; none before the first planning
    /// pass.
    open: Option<BTreeMap<Arc<str>, ModelSince>>,
    /// Lost groups with the time of the loss, the oldest first.
    lost: VecDeque<ModelSince>,
    /// Time that the last repair took.
    pub last_ms: Millis,
    /// Members of former groups that wait for others.
    pub members_waiting: usize,
}

impl Repairs {
    /// Drops the groups of an earlier period as planner.
    pub(super) fn clear(&mut self) {
        self.open = None;
        self.lost.clear();
        self.members_waiting = 0;
    }

    /// Since when a group is known to be open. Groups that were open before this router planned
    /// count from the first planning pass.
    pub(super) fn open_since(&self, group: &Arc<str>) -> Option<Millis> {
        Some(self.open.as_ref()?.get(group)?.1)
    }
}

/// Finds groups that were lost or have opened since the last planning pass, and logs the time from a
/// loss until a group of the same model has opened.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if !is_any_active(state) {
        state.plan.repairs.clear();
        return;
    }
    let mut open = open_groups(state, now);
    count_waiting(state);
    let Some(before) = state.plan.repairs.open.take() else {
        state.plan.repairs.open = Some(open);
        return;
    };
    for (group, (model, _)) in &before {
        if !open.contains_key(group) && !is_ended_by_plan(state, group) {
            state.plan.repairs.lost.push_back((model.clone(), now));
        }
    }
    let lost = &mut state.plan.repairs.lost;
    lost.retain(|(_, at)| now < at + LOST_VALID_MS);
    while lost.len() > MAX_LOST {
        lost.pop_front();
    }
    for (group, (model, since)) in &mut open {
        if let Some((_, known)) = before.get(group) {
            *since = *known;
            continue;
        }
        let Some(n) = lost.iter().position(|(m, _)| m == model) else {
            continue;
        };
        let Some((_, at)) = lost.remove(n) else {
            continue;
        };
        state.plan.repairs.last_ms = now.saturating_sub(at);
        let event = LogEvent::new(LogCode::GroupReplaced)
            .with("group", group)
            .with("model", model)
            .with("took", state.plan.repairs.last_ms);
        out.push(Effect::Log(event));
    }
    state.plan.repairs.open = Some(open);
}

/// Whether the part is on for any service.
fn is_any_active(state: &DirectState) -> bool {
    let services = state.routing.iter().flat_map(|r| r.services.values());
    let mut engines = services.filter_map(|s| s.engine.as_ref());
    engines.any(|e| scheduled::is_active(state, e))
}

/// Open groups that aren't ending, of services with the part.
fn open_groups(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, ModelSince> {
    let mut open = BTreeMap::new();
    for (name, group) in survey::groups(state) {
        let is_open = group.head().is_some_and(|h| h.state == SeatState::Open);
        let is_ending = state.plan.ending.contains_key(&name);
        let is_active = group
            .head()
            .is_some_and(|h| scheduled::is_active_for(state, &h.id));
        if let (true, false, true, Some(model)) = (is_open, is_ending, is_active, group.model) {
            open.insert(name, (model, now));
        }
    }
    open
}

/// Whether a group has ended in favour of another one, or with the evacuation of its hall.
fn is_ended_by_plan(state: &DirectState, group: &Arc<str>) -> bool {
    let is_traded = state.plan.traded_groups.values().any(|g| g == group);
    let has_seat = |v: &&EndpointView| v.entry.seat.as_ref().is_some_and(|s| s.group == *group);
    let mut members = state.endpoints.values().filter(has_seat);
    is_traded || members.any(|v| state.evacuation.contains(&v.entry.hall))
}

/// Counts the free endpoints that hold a model and wait for others.
fn count_waiting(state: &mut DirectState) {
    let idle = state.plan.idle.iter();
    let waiting = idle.filter(|(id, idle)| {
        idle.reason == IdleReason::Waits && scheduled::is_active_for(state, id)
    });
    state.plan.repairs.members_waiting = waiting.count();
}
