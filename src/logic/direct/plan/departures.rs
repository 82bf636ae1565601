//! What endpoints say of the seats that they were ordered to leave.
//!
//! An endpoint may join another group once it has said itself that it left its seat, or once its head
//! has said that their group is over. That an endpoint can't be reached, and for how long, says nothing: a
//! head that stood still goes on where it was.

use std::sync::Arc;

use super::{form, probe, retire, DoubtedSeat, SeatKey};
use crate::logic::direct::{DirectState, EndpointReport, LifeSign, OrderResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, SeatState};

/// Handles the result of an order to leave a seat.
pub(super) fn on_order_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    seat: &SeatKey,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    match result {
        // Another process has its address, so that its own has ended.
        OrderResult::Done | OrderResult::Gone => record(state, now, id, seat, result, out),
        OrderResult::Unfit | OrderResult::Begun => {
            let doubted = DoubtedSeat {
                seat: seat.clone(),
                since: now,
            };
            state.plan.doubted.insert(id.clone(), doubted);
            probe::send_if_due(state, now, id, out);
        }
        OrderResult::Outdated | OrderResult::Unanswered => {}
    }
}

/// Handles the report of an endpoint to a probe of `sent_at`. One that refused to leave a seat has left it if
/// it reports no such seat afterwards; otherwise the order is repeated.
pub(super) fn on_report(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    report: &EndpointReport,
    sent_at: Millis,
    out: &mut Vec<Effect>,
) {
    let doubted = state.plan.doubted.get(id);
    let Some(doubted) = doubted.filter(|d| report.readable && sent_at >= d.since) else {
        return;
    };
    let seat = doubted.seat.clone();
    state.plan.doubted.remove(id);
    if !report.seat.as_ref().is_some_and(|s| seat.is_of(s)) {
        record(state, now, id, &seat, OrderResult::Unfit, out);
    }
}

/// Records that an endpoint has left a seat, as `result` of the order shows.
fn record(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    seat: &SeatKey,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let plan = &mut state.plan;
    plan.doubted.remove(id);
    let left = plan.left.entry(id.clone()).or_default();
    *left = seat.epoch.max(*left);
    let known = plan.opened_seats.get(id);
    if known.is_some_and(|(s, _)| s.epoch <= seat.epoch) {
        plan.opened_seats.remove(id);
    }
    plan.next_pass = now;
    retire::on_member_left(state, now, &seat.group, id, result, out);
}

/// Whether an endpoint has left this seat. Its entry may lag.
pub(super) fn has_left(state: &DirectState, id: &InstanceId, seat: &GroupSeat) -> bool {
    has_left_epoch(state, id, seat.epoch)
}

/// Whether an endpoint has left its seat in the group of this epoch.
pub(super) fn has_left_epoch(state: &DirectState, id: &InstanceId, epoch: u64) -> bool {
    state.plan.left.get(id).is_some_and(|left| epoch <= *left)
}

/// Probes endpoints that refused to leave, and finds groups that go on although they counted as ended.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    forget_gone(state);
    let lost = &state.plan.lost;
    let doubted = state.plan.doubted.keys();
    let due = doubted.filter(|id| !lost.contains_key(*id));
    for id in due.cloned().collect::<Vec<_>>() {
        probe::send_if_due(state, now, &id, out);
    }
    for (head, group) in serving_heads(state) {
        state.plan.ended.remove(&group);
        let event = LogEvent::new(LogCode::GroupNotEnded)
            .with("group", &group)
            .with("head", &head);
        out.push(Effect::Log(event));
        form::give_up_with(state, now, &head, "its head serves in another group", out);
    }
}

/// Forgets what endpoints have said that are gone.
fn forget_gone(state: &mut DirectState) {
    let endpoints = &state.endpoints;
    let plan = &mut state.plan;
    plan.opened_seats.retain(|id, _| endpoints.contains_key(id));
    plan.left.retain(|id, _| endpoints.contains_key(id));
    plan.gone.retain(|id, _| endpoints.contains_key(id));
    plan.doubted.retain(|id, _| endpoints.contains_key(id));
}

/// Heads that say that they serve in a group that counts as ended, with the group.
fn serving_heads(state: &DirectState) -> Vec<(InstanceId, Arc<str>)> {
    let serves = |id: &InstanceId, entry: &EndpointEntry, seat: &GroupSeat| {
        let is_open = matches!(seat.state, SeatState::Open | SeatState::Closing);
        let has_ended = state.plan.ended.contains(&seat.group);
        let is_told = seat.rank == 0 && is_open && has_ended && !has_left(state, id, seat);
        is_told && lives_since(state, id, entry)
    };
    let seats = state.endpoints.iter();
    let seats = seats.filter_map(|(id, v)| Some((id, &v.entry, v.entry.seat.as_ref()?)));
    let heads = seats.filter(|(id, entry, seat)| serves(id, entry, seat));
    heads
        .map(|(id, _, seat)| (id.clone(), seat.group.clone()))
        .collect()
}

/// Whether an endpoint's entry isn't the one that was known when it counted as gone.
fn lives_since(state: &DirectState, id: &InstanceId, entry: &EndpointEntry) -> bool {
    let gone = state.plan.gone.get(id);
    gone.is_none_or(|sign| sign.continues_in(&LifeSign::of(entry)))
}
