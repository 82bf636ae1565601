//! Reads groups and free endpoints from the list.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{departures, EndingGroup, GroupMember, GroupView};
use crate::logic::direct::{DirectState, EndpointView};
use crate::types::{GroupSeat, InstanceId, Millis};

/// Name prefix of groups with a single endpoint, which never open: they only keep a model
/// loaded on a spare.
pub(super) const ALONE_PREFIX: &str = "alone-";

/// Time from a planner's takeover for which an entry may lag behind a join that an earlier planner has
/// ordered. Entries change at once with a seat, and reach the list within a second or two; heartbeats
/// alone don't change them, so that a longer wait would leave free endpoints unused.
const LAG_LIMIT_MS: Millis = 3_000;

/// A service and one of its fabric domains.
pub(super) type Place = (Arc<str>, Arc<str>);

/// The place of an endpoint.
pub(super) fn place_of(view: &EndpointView) -> Place {
    (view.entry.service.clone(), view.entry.domain.clone())
}

/// All groups in which an endpoint that isn't lost has a seat, without those that have
/// ended and those of single spares.
pub(super) fn groups(state: &DirectState) -> BTreeMap<Arc<str>, GroupView> {
    let mut groups: BTreeMap<Arc<str>, GroupView> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        let Some(seat) = view.entry.seat.as_ref().filter(|_| is_planned(state, view)) else {
            continue;
        };
        if !is_seated(state, id, view) || state.plan.lost.contains_key(id) {
            continue;
        }
        let group = groups
            .entry(seat.group.clone())
            .or_insert_with(|| GroupView {
                epoch: seat.epoch,
                service: view.entry.service.clone(),
                domain: view.entry.domain.clone(),
                model: None,
                seats: BTreeMap::new(),
            });
        group.model = group.model.take().or_else(|| view.entry.model.clone());
        let member = GroupMember {
            id: id.clone(),
            state: seat.state,
            leaving: view.is_leaving(),
            listed: view.listed,
        };
        group.seats.insert(seat.rank, member);
    }
    groups
}

/// Usable endpoints of engines that belong to no group, by service and domain.
pub(super) fn free(state: &DirectState) -> BTreeMap<Place, Vec<InstanceId>> {
    let forming = state.plan.forming.values().flat_map(|f| &f.members);
    let forming: BTreeSet<&InstanceId> = forming.collect();
    let mut free: BTreeMap<Place, Vec<InstanceId>> = BTreeMap::new();
    let mut stale = Vec::new();
    for (id, view) in &state.endpoints {
        if is_usable(state, id, view) && !forming.contains(id) && !is_seated(state, id, view) {
            let place = place_of(view);
            let since = state.plan.planner_since;
            if view.heartbeat_at <= since && state.ticked_at < since + LAG_LIMIT_MS {
                stale.push((place, id));
            } else {
                free.entry(place).or_default().push(id.clone());
            }
        }
    }
    if !stale.is_empty() {
        let incomplete = places_with_unknown_members(state);
        for (place, id) in stale.into_iter().filter(|(p, _)| !incomplete.contains(p)) {
            free.entry(place).or_default().push(id.clone());
        }
        free.values_mut().for_each(|ids| ids.sort());
    }
    free
}

/// Places with a group of which the list hasn't shown all members. Any endpoint there whose entry is
/// from before this router became the planner may be one of them, as an earlier planner may have
/// ordered it to join and its entry may lag.
fn places_with_unknown_members(state: &DirectState) -> BTreeSet<Place> {
    let mut groups: BTreeMap<&Arc<str>, ListedGroup> = BTreeMap::new();
    let seated = state.endpoints.iter();
    for (_, view) in seated.filter(|(id, v)| is_seated(state, id, v)) {
        let Some(seat) = &view.entry.seat else {
            continue;
        };
        let group = groups.entry(&seat.group).or_insert_with(|| ListedGroup {
            place: place_of(view),
            model: None,
            ranks: BTreeSet::new(),
        });
        group.model = group.model.or(view.entry.model.as_ref());
        group.ranks.insert(seat.rank);
    }
    let is_incomplete = |(name, group): &(&Arc<str>, ListedGroup)| {
        let model = group.model;
        let size = model.and_then(|m| model_size(state, &group.place.0, m));
        // Members that have left are listed without a seat.
        let known = state
            .plan
            .ending
            .get(*name)
            .map_or(0, EndingGroup::known_members);
        size.is_none_or(|size| known < size && (0..size).any(|r| !group.ranks.contains(&r)))
    };
    let incomplete = groups.into_iter().filter(is_incomplete);
    incomplete.map(|(_, group)| group.place).collect()
}

/// What the list shows of a group, lost members included.
struct ListedGroup<'a> {
    place: Place,
    model: Option<&'a Arc<str>>,
    ranks: BTreeSet<usize>,
}

/// Number of members of a group of this model.
pub(super) fn model_size(
    state: &DirectState,
    service: &Arc<str>,
    model: &Arc<str>,
) -> Option<usize> {
    let spec = state.routing.as_ref()?.services.get(service)?;
    Some(spec.engine.as_ref()?.model(model)?.size)
}

/// Places with their free endpoints, those of different halls in turn: where only a part of the
/// endpoints can be loaded, no hall then holds all groups.
pub(super) fn hall_by_hall(
    state: &DirectState,
    free: BTreeMap<Place, Vec<InstanceId>>,
) -> Vec<(Place, Vec<InstanceId>)> {
    let hall = |ids: &[InstanceId]| {
        let view = ids.first().and_then(|id| state.endpoints.get(id));
        view.map(|v| v.entry.hall.clone())
    };
    let mut seen: BTreeMap<Option<Arc<str>>, usize> = BTreeMap::new();
    let mut places = Vec::new();
    for (place, ids) in free {
        let hall = hall(&ids);
        let turn = seen.entry(hall.clone()).or_default();
        *turn += 1;
        places.push((*turn, hall, place, ids));
    }
    places.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
    places
        .into_iter()
        .map(|(.., place, ids)| (place, ids))
        .collect()
}

/// Whether the head of a group is in an evacuated hall, so that the group gets no new requests.
pub(super) fn is_evacuated(state: &DirectState, group: &GroupView) -> bool {
    let head = group.head().and_then(|head| state.endpoints.get(&head.id));
    head.is_some_and(|v| state.evacuation.contains(&v.entry.hall))
}

/// Whether an endpoint can serve in a new group: it is planned, listed, not about to leave,
/// not lost and in no evacuated or unreachable hall.
pub(super) fn is_usable(state: &DirectState, id: &InstanceId, view: &EndpointView) -> bool {
    is_planned(state, view)
        && view.listed
        && !view.is_leaving()
        && !state.evacuation.contains(&view.entry.hall)
        && !state.plan.unreachable_halls.contains(&view.entry.hall)
        && !state.plan.lost.contains_key(id)
}

/// Whether an endpoint belongs to a service whose groups are planned. Its entry may name a
/// service that the routing lacks.
pub(super) fn is_planned(state: &DirectState, view: &EndpointView) -> bool {
    let service = &view.entry.service;
    let spec = state.routing.as_ref().and_then(|r| r.services.get(service));
    !view.entry.domain.is_empty() && spec.is_some_and(|s| s.engine.is_some())
}

/// Model of the group that an endpoint serves in or joins; none if it is free.
pub(super) fn model_of(
    state: &DirectState,
    id: &InstanceId,
    view: &EndpointView,
) -> Option<Arc<str>> {
    let is_member = |f: &&super::FormingGroup| f.members.contains(id);
    if let Some(forming) = state.plan.forming.values().find(is_member) {
        return Some(forming.model.clone());
    }
    let held = view.entry.model.clone();
    held.filter(|_| is_seated(state, id, view))
}

/// Whether an endpoint has a seat that it hasn't left, in a group that hasn't ended; single spares don't
/// count.
fn is_seated(state: &DirectState, id: &InstanceId, view: &EndpointView) -> bool {
    let is_free = |seat: &GroupSeat| {
        seat.group.starts_with(ALONE_PREFIX)
            || state.plan.ended.contains(&seat.group)
            || departures::has_left(state, id, seat)
    };
    let seat = view.entry.seat.as_ref();
    seat.is_some_and(|s| !is_free(s))
}
