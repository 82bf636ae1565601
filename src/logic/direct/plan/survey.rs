//! Reads groups and free endpoints from the list.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{GroupView, Seat};
use crate::logic::direct::{DirectState, EndpointView};
use crate::types::InstanceId;

/// How names of groups begin that one endpoint forms alone, to hold a model ready.
pub(super) const ALONE: &str = "alone-";

/// Service and fabric domain.
pub(super) type Place = (Arc<str>, Arc<str>);

/// All groups that any endpoint has a place in, but for those that are over.
pub(super) fn groups(state: &DirectState) -> BTreeMap<Arc<str>, GroupView> {
    let mut groups: BTreeMap<Arc<str>, GroupView> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        let Some(seat) = view.entry.seat.as_ref().filter(|_| planned(state, view)) else {
            continue;
        };
        let alone = seat.group.starts_with(ALONE);
        if alone || state.plan.ended.contains(&seat.group) || state.plan.lost.contains_key(id) {
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
        let member = Seat {
            id: id.clone(),
            state: seat.state,
            leaving: view.entry.leaving,
            listed: view.listed,
        };
        group.seats.insert(seat.rank, member);
    }
    groups
}

/// Endpoints of engines that aren't needed by any group, by service and domain.
pub(super) fn free(state: &DirectState) -> BTreeMap<Place, Vec<InstanceId>> {
    let forming = state.plan.forming.values().flat_map(|f| &f.members);
    let forming: BTreeSet<&InstanceId> = forming.collect();
    let mut free: BTreeMap<Place, Vec<InstanceId>> = BTreeMap::new();
    for (id, view) in &state.endpoints {
        if usable(state, id, view) && !forming.contains(id) && !seated(state, view) {
            let place = (view.entry.service.clone(), view.entry.domain.clone());
            free.entry(place).or_default().push(id.clone());
        }
    }
    free
}

/// Whether an endpoint of an engine may be planned with.
pub(super) fn usable(state: &DirectState, id: &InstanceId, view: &EndpointView) -> bool {
    planned(state, view) && view.listed && !view.entry.leaving && !state.plan.lost.contains_key(id)
}

/// Whether an endpoint belongs to a service whose groups are planned. An entry may name
/// a service that operators know nothing of.
pub(super) fn planned(state: &DirectState, view: &EndpointView) -> bool {
    let service = &view.entry.service;
    let spec = state.routing.as_ref().and_then(|r| r.services.get(service));
    !view.entry.domain.is_empty() && spec.is_some_and(|s| s.engine.is_some())
}

/// Model of the group that an endpoint serves in or joins; none where it is free.
pub(super) fn model_of(
    state: &DirectState,
    id: &InstanceId,
    view: &EndpointView,
) -> Option<Arc<str>> {
    let joins = |f: &&super::Forming| f.members.contains(id);
    if let Some(forming) = state.plan.forming.values().find(joins) {
        return Some(forming.model.clone());
    }
    let held = view.entry.model.clone();
    held.filter(|_| seated(state, view))
}

/// Whether an endpoint has a place in a group that isn't over.
fn seated(state: &DirectState, view: &EndpointView) -> bool {
    let over = |group: &Arc<str>| group.starts_with(ALONE) || state.plan.ended.contains(group);
    let seat = view.entry.seat.as_ref();
    seat.is_some_and(|s| !over(&s.group))
}
