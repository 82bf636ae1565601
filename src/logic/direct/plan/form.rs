//! Forms groups: every member is ordered to join, and once all are ready the head is
//! ordered to open.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{
    order, probe, retire, scheduled, EndingGroup, EndingStep, FormingGroup, OrderUse, PlanState,
};
use crate::logic::direct::{digests, DirectState, GroupStep};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, SeatState};

/// Epochs that belong to one fence.
const EPOCHS_PER_FENCE: u64 = 4_096;

/// Whether the epochs of the planner lease run out: half of them are left for the pass in which that
/// becomes known.
pub(super) fn are_epochs_scarce(plan: &PlanState) -> bool {
    plan.epochs_used >= EPOCHS_PER_FENCE / 2
}

/// Time beyond the published times after which a group that isn't open is given up.
const FORM_SLACK_MS: Millis = 3_000;

/// An epoch above every earlier one of any planner.
pub(super) fn next_epoch(state: &mut DirectState) -> u64 {
    state.plan.epochs_used += 1;
    let base = state.plan.lease.fence.saturating_mul(EPOCHS_PER_FENCE);
    base.saturating_add(state.plan.epochs_used)
}

/// Time beyond the published times after which members that aren't ready are probed.
const LATE_PROBE_MS: Millis = 150;

/// Starts to form a group. `takes` is the expected time until it is open, in milliseconds.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    place: &(Arc<str>, Arc<str>),
    model: Arc<str>,
    members: Vec<InstanceId>,
    takes: Millis,
    out: &mut Vec<Effect>,
) {
    let epoch = next_epoch(state);
    let group: Arc<str> = format!("g{epoch}").into();
    let members = warm_first(state, members);
    let event = LogEvent::new(LogCode::GroupForming)
        .with("group", &group)
        .with("model", &model)
        .with("domain", &place.1)
        .with("members", joined_ids(&members))
        .with("seats", last_seats(state, &members))
        .with("expected_ms", takes);
    out.push(Effect::Log(event));
    let forming = FormingGroup {
        epoch,
        service: place.0.clone(),
        domain: place.1.clone(),
        model,
        members,
        accepted: BTreeSet::new(),
        reported: BTreeMap::new(),
        ordered_at: now,
        started_at: now,
        deadline: now + takes + FORM_SLACK_MS,
        open_sent: None,
        adopted: false,
    };
    for member in &forming.members {
        scheduled::detach(state, now, member);
    }
    send_join_orders(state, &group, &forming);
    state.plan.forming.insert(group, forming);
}

/// The members with a warm one first, if any is: the first is the head, and a cold head bears few
/// requests.
fn warm_first(state: &DirectState, mut members: Vec<InstanceId>) -> Vec<InstanceId> {
    let is_cold = |id: &InstanceId| state.endpoints.get(id).is_some_and(|v| v.cold.is_some());
    if let Some(warm) = members.iter().position(|id| !is_cold(id)) {
        members.swap(0, warm);
    }
    members
}

/// The seats that endpoints last had, by their entries or reports.
fn last_seats(state: &DirectState, members: &[InstanceId]) -> String {
    let seat = |id: &InstanceId| {
        let seat = state.endpoints.get(id)?.entry.seat.as_ref()?;
        Some(format!("{id}:{}:{:?}", seat.group, seat.state))
    };
    let seats: Vec<_> = members.iter().filter_map(seat).collect();
    seats.join(",")
}

fn joined_ids(members: &[InstanceId]) -> String {
    let ids: Vec<_> = members.iter().map(InstanceId::as_str).collect();
    ids.join(",")
}

/// Orders every member to join that hasn't accepted that order yet.
fn send_join_orders(state: &mut DirectState, group: &Arc<str>, forming: &FormingGroup) {
    for id in &forming.members {
        if !forming.accepted.contains(id) {
            send_join_order(state, id, group, forming);
        }
    }
}

fn send_join_order(
    state: &mut DirectState,
    id: &InstanceId,
    group: &Arc<str>,
    forming: &FormingGroup,
) {
    let step = GroupStep::Join {
        group: group.clone(),
        epoch: forming.epoch,
        model: forming.model.clone(),
        members: forming.members.clone(),
    };
    order::enqueue(state, id, step, OrderUse::Join(group.clone()));
}

/// Orders a member once more to join, which has refused as it had begun another order.
pub(super) fn repeat_join(state: &mut DirectState, group: &Arc<str>, id: &InstanceId) {
    if let Some(forming) = state.plan.forming.get(group).cloned() {
        send_join_order(state, id, group, &forming);
    }
}

/// Advances every group that is being formed.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let names: Vec<_> = state.plan.forming.keys().cloned().collect();
    for group in names {
        let Some(mut forming) = state.plan.forming.remove(&group) else {
            continue;
        };
        if advance(state, now, &group, &mut forming, out) {
            state.plan.forming.insert(group, forming);
        }
    }
}

/// Takes the next step of one group. False once the group is open or given up.
fn advance(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    forming: &mut FormingGroup,
    out: &mut Vec<Effect>,
) -> bool {
    let seats: Vec<_> = forming
        .members
        .iter()
        .map(|id| {
            latest_state(
                seat_state(state, id, group),
                forming.reported.get(id).copied(),
            )
        })
        .collect();
    if seats.first() == Some(&Some(SeatState::Open)) {
        let event = LogEvent::new(LogCode::GroupOpened)
            .with("group", group)
            .with("took", now.saturating_sub(forming.started_at));
        out.push(Effect::Log(event));
        record_seats(state, now, group, forming, SeatState::Open);
        return false;
    }
    let lost = forming
        .members
        .iter()
        .find(|id| !is_available(state, id))
        .cloned();
    if lost.is_some() || now >= forming.deadline {
        let why = lost.map_or("not open within its time limit".to_string(), |id| {
            if is_evacuated(state, &id) {
                format!("the hall of {id} is evacuated")
            } else {
                format!("{id} is lost")
            }
        });
        give_up(state, now, group, forming, &why, out);
        return false;
    }
    for (id, seat) in forming.members.iter().zip(&seats) {
        if seat.is_some() {
            forming.accepted.insert(id.clone());
        }
    }
    if forming.accepted.len() < forming.members.len()
        && now >= forming.ordered_at + state.params.reorder_ms
    {
        forming.ordered_at = now;
        send_join_orders(state, group, forming);
    }
    if now + FORM_SLACK_MS >= forming.deadline + LATE_PROBE_MS {
        for (id, seat) in forming.members.iter().zip(&seats) {
            if !matches!(seat, Some(SeatState::Ready | SeatState::Open)) {
                probe::send_if_due(state, now, id, out);
            }
        }
    }
    let is_ready = |s: &Option<SeatState>| matches!(s, Some(SeatState::Ready | SeatState::Open));
    let due = forming
        .open_sent
        .is_none_or(|at| now >= at + state.params.reorder_ms);
    if seats.iter().all(is_ready) && due {
        forming.open_sent = Some(now);
        let head = forming.members[0].clone();
        let step = GroupStep::Open {
            group: group.clone(),
            epoch: forming.epoch,
        };
        order::enqueue(state, &head, step, OrderUse::Open(group.clone()));
    }
    true
}

/// Records the seats of a group that has opened, or whose head was ordered to open, as the list may lag
/// behind for some of its members, which would count as free. `head` is the state of the head's seat.
fn record_seats(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    forming: &FormingGroup,
    head: SeatState,
) {
    for (rank, id) in forming.members.iter().enumerate() {
        let seat = GroupSeat {
            group: group.clone(),
            epoch: forming.epoch,
            rank,
            state: if rank == 0 { head } else { SeatState::Ready },
        };
        let Some(view) = state.endpoints.get_mut(id) else {
            continue;
        };
        if view.epoch() < forming.epoch {
            view.entry.seat = Some(seat.clone());
            view.entry.model = Some(forming.model.clone());
            state
                .plan
                .opened_seats
                .insert(id.clone(), (seat, forming.model.clone()));
            if rank == 0 && head == SeatState::Open {
                digests::on_head_opened(state, now, id);
            }
        }
    }
}

/// Puts the seat that this planner has recorded into an entry of the list, if the entry
/// shows an older one. The record is dropped once the list has caught up or the group has
/// ended.
pub(in crate::logic::direct) fn apply_known_seat(
    state: &mut DirectState,
    id: &InstanceId,
    mut entry: EndpointEntry,
) -> EndpointEntry {
    let Some((seat, model)) = state.plan.opened_seats.get(id) else {
        return entry;
    };
    let listed = entry.seat.as_ref().map_or(0, |s| s.epoch);
    if listed >= seat.epoch || state.plan.ended.contains(&seat.group) {
        state.plan.opened_seats.remove(id);
        return entry;
    }
    entry.seat = Some(seat.clone());
    entry.model = Some(model.clone());
    entry
}

/// Whether a group is being formed, or was opened and the list may not show that yet.
pub(in crate::logic::direct) fn is_forming(state: &DirectState, group: &Arc<str>) -> bool {
    let mut opened = state.plan.opened_seats.values();
    state.plan.forming.contains_key(group) || opened.any(|(seat, _)| seat.group == *group)
}

/// Whether an endpoint is a member of a group that is being formed or ends, or has opened, as far as the
/// planner's own orders go.
pub(in crate::logic::direct) fn is_member(state: &DirectState, id: &InstanceId) -> bool {
    let plan = &state.plan;
    let mut forming = plan.forming.values();
    let mut ending = plan.ending.values();
    plan.opened_seats.contains_key(id)
        || forming.any(|f| f.members.contains(id))
        || ending.any(|e| e.head.as_ref() == Some(id))
}

/// Gives up a group that isn't open. If its head may have been ordered to open, the group
/// has to end in order; otherwise its members are free at once.
pub(super) fn give_up(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    forming: &FormingGroup,
    why: &str,
    out: &mut Vec<Effect>,
) {
    let event = LogEvent::new(LogCode::GroupGivenUp)
        .with("group", group)
        .with("why", why);
    out.push(Effect::Log(event));
    if forming.open_sent.is_some() || forming.adopted {
        record_seats(state, now, group, forming, SeatState::Ready);
        let ending = EndingGroup {
            epoch: forming.epoch,
            head: forming.members.first().cloned(),
            others: forming.members.iter().skip(1).cloned().collect(),
            drains: false,
            step: EndingStep::Leaving,
            step_since: now,
            began_at: now,
            ordered_at: now,
            left_at: None,
        };
        retire::add_ending(state, now, group, ending, out);
    } else {
        state.plan.ended.insert(group.clone());
    }
}

/// Gives up the groups that are being formed with this member.
pub(super) fn give_up_with(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    why: &str,
    out: &mut Vec<Effect>,
) {
    let is_member = |(_, f): &(&Arc<str>, &FormingGroup)| f.members.contains(id);
    let forming = state.plan.forming.iter().filter(is_member);
    let groups: Vec<_> = forming.map(|(group, _)| group.clone()).collect();
    for group in groups {
        if let Some(forming) = state.plan.forming.remove(&group) {
            give_up(state, now, &group, &forming, why, out);
        }
    }
}

/// Handles a member's own report of its seat in a group that is being formed.
pub(super) fn on_seat_report(state: &mut DirectState, id: &InstanceId, seat: &GroupSeat) {
    if let Some(forming) = state.plan.forming.get_mut(&seat.group) {
        if forming.epoch == seat.epoch {
            forming.reported.insert(id.clone(), seat.state);
        }
    }
}

/// Whether a member is known, not about to leave and not lost. With the part `capacity` it must also
/// be in no evacuated hall: a group that is formed there counts as present and keeps others from
/// being formed elsewhere.
fn is_available(state: &DirectState, id: &InstanceId) -> bool {
    let view = state.endpoints.get(id);
    let is_staying = view.is_some_and(|v| !v.is_leaving());
    is_staying && !state.plan.lost.contains_key(id) && !is_evacuated(state, id)
}

/// Whether a member is in an evacuated hall, with the part `capacity`.
fn is_evacuated(state: &DirectState, id: &InstanceId) -> bool {
    let view = state.endpoints.get(id);
    let is_evacuated = view.is_some_and(|v| state.evacuation.contains(&v.entry.hall));
    is_evacuated && scheduled::is_active_for(state, id)
}

/// The state of a member's seat: as listed, unless the member's own report is ahead of it.
fn latest_state(listed: Option<SeatState>, reported: Option<SeatState>) -> Option<SeatState> {
    match listed {
        None | Some(SeatState::Joining) => reported.or(listed),
        further => further,
    }
}

/// The listed state of a member's seat in this group.
fn seat_state(state: &DirectState, id: &InstanceId, group: &Arc<str>) -> Option<SeatState> {
    let seat = state.endpoints.get(id)?.entry.seat.as_ref()?;
    (seat.group == *group).then_some(seat.state)
}
