//! Confirms by endpoints' own reports that they may join a group.
//!
//! An entry of the list shows what its endpoint could last write, which may be long ago, and an order of
//! an earlier planner may be carried out late. So an endpoint is ordered to join a group only once it
//! has reported its seat to this planner, and on the condition that it has begun no other order since.
//! Once it has carried out an order of this planner, it refuses those of earlier ones by their fences.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::survey::Place;
use super::{departures, form, probe, survey, GroupMember, GroupView};
use crate::logic::direct::{digests, DirectState, EndpointReport, GroupStep, OrderResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{GroupSeat, InstanceId, Millis, SeatState};

/// What an endpoint has reported to this planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Number of orders that it had begun by its last report, if it tells.
    pub orders: Option<u64>,
    /// Whether it has carried out an order of this planner since its first report.
    pub fenced: bool,
    /// Whether it reported a seat in a group that the list didn't show.
    pub unlisted_seat: bool,
}

/// Has an endpoint report before it joins a group, as it may have restarted.
pub(in crate::logic::direct) fn await_report(state: &mut DirectState, id: &InstanceId) {
    state.plan.confirmed.remove(id);
    state.plan.restarted.insert(id.clone());
}

/// Handles the report of an endpoint. A seat in a group that this planner doesn't know of goes before
/// the entry of the list.
pub(super) fn on_report(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    report: &EndpointReport,
    out: &mut Vec<Effect>,
) {
    if !report.readable {
        return;
    }
    let known = state.plan.confirmed.entry(id.clone()).or_default();
    known.orders = report.orders;
    if let Some(seat) = report.seat.as_ref().filter(|s| is_unknown(state, id, s)) {
        adopt_seat(state, now, id, seat, report.model.as_ref(), out);
    }
}

/// Whether a reported seat is in a group that the list doesn't show yet. Of a group that this planner forms
/// or that has ended the list may know more, as a report may be some time old.
fn is_unknown(state: &DirectState, id: &InstanceId, seat: &GroupSeat) -> bool {
    let view = state.endpoints.get(id);
    let plan = &state.plan;
    let is_handled = plan.forming.contains_key(&seat.group)
        || plan.ended.contains(&seat.group)
        || departures::has_left(state, id, seat);
    let is_alone = seat.group.starts_with(survey::ALONE_PREFIX);
    view.is_some_and(|v| seat.epoch > v.epoch()) && !is_handled && !is_alone
}

fn adopt_seat(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    seat: &GroupSeat,
    model: Option<&Arc<str>>,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    if let Some(known) = state.plan.confirmed.get_mut(id) {
        known.unlisted_seat = true;
    }
    let event = LogEvent::new(LogCode::SeatReported)
        .with("endpoint", id)
        .with("group", &seat.group)
        .with("listed", view.entry.seat.as_ref().map_or("-", |s| &s.group));
    out.push(Effect::Log(event));
    view.entry.seat = Some(seat.clone());
    if let Some(model) = model.cloned().or_else(|| view.entry.model.clone()) {
        view.entry.model = Some(model.clone());
        let known = (seat.clone(), model);
        state.plan.opened_seats.insert(id.clone(), known);
    }
    if seat.rank == 0 && seat.state == SeatState::Open {
        digests::on_head_opened(state, now, id);
    }
    state.plan.staging.remove(id);
    form::give_up_with(state, now, id, "a member serves in another group", out);
}

/// Handles the result of an order. One that was refused although its endpoint had reported that it
/// may join shows that the endpoint has begun another order since: it has to report again.
pub(super) fn on_order_result(
    state: &mut DirectState,
    id: &InstanceId,
    expected: Option<u64>,
    result: OrderResult,
) {
    match result {
        OrderResult::Begun | OrderResult::Done => {
            if let Some(known) = state.plan.confirmed.get_mut(id) {
                known.fenced = true;
            }
        }
        OrderResult::Unfit if expected.is_some() => {
            state.plan.confirmed.remove(id);
        }
        _ => {}
    }
}

/// Whether an endpoint has yet to report before it may be ordered to join a group. Where no router has
/// planned before, all are free but those that have restarted since: earlier orders may be carried out there.
pub(super) fn is_awaited(state: &DirectState, id: &InstanceId) -> bool {
    let plan = &state.plan;
    let is_doubtful = !plan.lease.is_first || plan.restarted.contains(id);
    is_doubtful && !plan.confirmed.contains_key(id)
}

/// Whether the endpoints that an order concerns may be ordered to join a group.
pub(super) fn is_confirmed(state: &DirectState, step: &GroupStep) -> bool {
    match step {
        GroupStep::Join { members, .. } => !members.iter().any(|id| is_awaited(state, id)),
        _ => true,
    }
}

/// Number of orders that an endpoint must have begun for an order to join to be carried out; none if
/// its fence keeps orders of earlier planners away.
pub(super) fn expected_orders(
    state: &DirectState,
    id: &InstanceId,
    step: &GroupStep,
) -> Option<u64> {
    let is_join = matches!(step, GroupStep::Join { .. });
    let known = state.plan.confirmed.get(id).filter(|_| is_join);
    known.filter(|k| !k.fenced)?.orders
}

/// Probes the endpoints whose reports orders wait for, and those that may be further members of a group
/// that the list doesn't show.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let endpoints = &state.endpoints;
    let confirmed = &mut state.plan.confirmed;
    confirmed.retain(|id, _| endpoints.contains_key(id));
    state.plan.restarted.retain(|id| endpoints.contains_key(id));
    let plan = &state.plan;
    let waiting = plan.order_queue.iter().filter_map(|o| match &o.what {
        step @ GroupStep::Join { members, .. } if !is_confirmed(state, step) => Some(members),
        _ => None,
    });
    let waiting = waiting.flatten().filter(|id| is_awaited(state, id));
    let mut due: BTreeSet<InstanceId> = waiting.cloned().collect();
    let places: BTreeSet<Place> = plan
        .confirmed
        .iter()
        .filter(|(_, known)| known.unlisted_seat)
        .filter_map(|(id, _)| state.endpoints.get(id).map(survey::place_of))
        .collect();
    for place in &places {
        due.extend(unconfirmed_in(state, place).cloned());
    }
    for id in due {
        probe::send_if_due(state, now, &id, out);
    }
}

/// Whether a group with a member that the list doesn't show may have further ones: other endpoints of its
/// place have yet to report.
pub(super) fn awaits_members(state: &DirectState, group: &GroupView) -> bool {
    let has_unlisted_seat = |m: &GroupMember| {
        let known = state.plan.confirmed.get(&m.id);
        known.is_some_and(|k| k.unlisted_seat)
    };
    let place = (group.service.clone(), group.domain.clone());
    group.seats.values().any(has_unlisted_seat) && unconfirmed_in(state, &place).next().is_some()
}

/// Endpoints of a place that have yet to report and aren't lost.
fn unconfirmed_in<'a>(
    state: &'a DirectState,
    place: &'a Place,
) -> impl Iterator<Item = &'a InstanceId> {
    let endpoints = state.endpoints.iter();
    let there = endpoints.filter(|(_, v)| survey::place_of(v) == *place);
    let ids = there.map(|(id, _)| id);
    ids.filter(|id| is_awaited(state, id) && !state.plan.lost.contains_key(*id))
}
