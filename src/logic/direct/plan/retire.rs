//! Ends groups: no member may join another group before the head has stopped.

use std::sync::Arc;

use super::{
    departures, form, order, probe, readiness, EndProof, EndingGroup, EndingStep, GroupView,
    OrderUse,
};
use crate::logic::direct::{DirectState, EndpointView, GroupStep, LifeSign, OrderResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{GroupSeat, InstanceId, Millis, SeatState};

/// Shortest time that a closing group gets to finish its requests, for those of routes that are no
/// longer configured.
const MIN_CLOSING_LIMIT_MS: Millis = 3_000;

/// Time in which a head gets the order to close its group and the list shows that it has done so.
const CLOSING_SLACK_MS: Millis = 1_000;

/// Time that other routers get to report what they observe of a head.
const CONFIRM_LIMIT_MS: Millis = 400;

/// Starts to end a group. With `drain` its head finishes its requests first.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    view: &GroupView,
    drain: bool,
    out: &mut Vec<Effect>,
) {
    let head = view.head().map(|s| s.id.clone());
    let ending = EndingGroup {
        epoch: view.epoch,
        others: listed_others(state, group),
        head: head.or_else(|| lost_head(state, group)),
        drains: drain,
        step: if drain {
            EndingStep::Closing
        } else {
            EndingStep::Leaving
        },
        step_since: now,
        began_at: now,
        ordered_at: now,
        left_at: None,
    };
    add_ending(state, now, group, ending, out);
}

/// The head of a group, if it is lost.
fn lost_head(state: &DirectState, group: &Arc<str>) -> Option<InstanceId> {
    let is_head = |id: &&InstanceId| {
        let seat = state.endpoints.get(*id).and_then(|v| v.entry.seat.as_ref());
        seat.is_some_and(|s| s.group == *group && s.rank == 0)
    };
    state.plan.lost.keys().find(is_head).cloned()
}

/// The head of a group by the entries of the endpoints, if any shows it by now.
fn listed_head(state: &DirectState, group: &Arc<str>) -> Option<InstanceId> {
    let is_head = |v: &EndpointView| {
        let seat = v.entry.seat.as_ref();
        seat.is_some_and(|s| s.group == *group && s.rank == 0)
    };
    let found = state.endpoints.iter().find(|(_, v)| is_head(v));
    found.map(|(id, _)| id.clone())
}

/// The other members of a group by the entries of the endpoints and by what they have said since, lost
/// ones included: an endpoint that can't be reached may still serve with the head.
fn listed_others(state: &DirectState, group: &Arc<str>) -> Vec<InstanceId> {
    let is_other = |id: &InstanceId, v: &EndpointView| {
        let seat = v.entry.seat.as_ref();
        let seat = seat.filter(|s| s.group == *group && s.rank != 0);
        seat.is_some_and(|s| !departures::has_left(state, id, s))
    };
    let found = state.endpoints.iter().filter(|(id, v)| is_other(id, v));
    found.map(|(id, _)| id.clone()).collect()
}

/// Whether an endpoint may still have its seat in an ending group.
fn may_hold_seat(state: &DirectState, ending: &EndingGroup, id: &InstanceId) -> bool {
    let view = state.endpoints.get(id);
    let is_later = |v: &EndpointView| v.epoch() > ending.epoch;
    view.is_some_and(|v| !is_later(v)) && !departures::has_left_epoch(state, id, ending.epoch)
}

/// Whether an ending group only has to wait until its head is heard of: its other members have left.
pub(super) fn is_deserted(state: &DirectState, group: &Arc<str>, ending: &EndingGroup) -> bool {
    ending.left_at.is_some() && listed_others(state, group).is_empty()
}

/// Adds a group to those that are ending and sends the first orders.
pub(super) fn add_ending(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    mut ending: EndingGroup,
    out: &mut Vec<Effect>,
) {
    let is_lost = ending
        .head
        .as_ref()
        .is_none_or(|id| state.plan.lost.contains_key(id));
    if is_lost {
        ending.step = EndingStep::Confirming;
    }
    let event = LogEvent::new(LogCode::GroupEnding)
        .with("group", group)
        .with("step", format!("{:?}", ending.step))
        .with(
            "head",
            ending.head.as_ref().map_or("unknown", |id| id.as_str()),
        );
    out.push(Effect::Log(event));
    send_orders(state, group, &ending);
    if advance(state, now, group, &mut ending, out) {
        state.plan.ending.insert(group.clone(), ending);
    }
}

/// Sends the orders of the current step.
fn send_orders(state: &mut DirectState, group: &Arc<str>, ending: &EndingGroup) {
    let epoch = ending.epoch;
    let leave = |group: &Arc<str>| GroupStep::Leave {
        group: group.clone(),
        epoch,
    };
    match (ending.step, &ending.head) {
        (EndingStep::Closing, Some(head)) => {
            let step = GroupStep::Close {
                group: group.clone(),
                epoch,
            };
            order::enqueue(state, head, step, OrderUse::Close(group.clone()));
        }
        (EndingStep::Leaving, Some(head)) => {
            let purpose = OrderUse::Leave(group.clone());
            order::enqueue(state, head, leave(group), purpose);
        }
        (EndingStep::Breaking, head) => {
            // Without any of them the head breaks; lost ones are unlikely to answer.
            let is_lost = |id: &&InstanceId| state.plan.lost.contains_key(*id);
            let others = ending.others.iter();
            let holders: Vec<_> = others
                .filter(|id| may_hold_seat(state, ending, id))
                .collect();
            let (lost, found): (Vec<_>, Vec<_>) = holders.into_iter().partition(is_lost);
            for id in if found.is_empty() { lost } else { found } {
                let purpose = OrderUse::Break(group.clone(), id.clone());
                order::enqueue(state, id, leave(group), purpose);
            }
            // Raises the fence at the head, should it get there: an order to open that is carried out
            // after the group has ended would open it while its members serve elsewhere.
            if let Some(head) = head {
                let purpose = OrderUse::Leave(group.clone());
                order::enqueue(state, head, leave(group), purpose);
            }
        }
        _ => {}
    }
}

/// Handles that a member has left a group, as `result` of the order shows. If it is the head, the group has
/// ended, or is inspected anew where that isn't certain; otherwise the head makes no progress from now on.
pub(super) fn on_member_left(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    id: &InstanceId,
    result: OrderResult,
    out: &mut Vec<Effect>,
) {
    let Some(mut ending) = state.plan.ending.remove(group) else {
        return;
    };
    if ending.head.as_ref() == Some(id) {
        let known = state.plan.confirmed.get(id);
        let proof = match result {
            // Another process at its address may have reported the seat, and head the group.
            OrderResult::Gone if known.is_some_and(|k| k.unlisted_seat) => return,
            OrderResult::Gone => EndProof::Gone,
            _ => EndProof::Left,
        };
        return record_end(state, now, group, &ending, proof, out);
    }
    ending.left_at.get_or_insert(now);
    state.plan.ending.insert(group.clone(), ending);
}

/// Records that an ending group has ended: its members are free from now on.
fn record_end(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    ending: &EndingGroup,
    proof: EndProof,
    out: &mut Vec<Effect>,
) {
    let head = ending.head.as_ref();
    let event = LogEvent::new(LogCode::GroupEnded)
        .with("group", group)
        .with("head", head.map_or("unknown", InstanceId::as_str))
        .with("proof", proof.name())
        .with("step", format!("{:?}", ending.step))
        .with(
            "observed",
            head.map_or(String::new(), |id| probe::observed(state, id)),
        )
        .with("took", now.saturating_sub(ending.began_at));
    out.push(Effect::Log(event));
    state.plan.ended.insert(group.clone());
    let gone = head.filter(|_| proof == EndProof::Gone);
    if let Some((id, view)) = gone.and_then(|id| Some((id, state.endpoints.get(id)?))) {
        let sign = LifeSign::of(&view.entry);
        state.plan.gone.insert(id.clone(), sign);
    }
}

/// Handles the restart of an endpoint: it has lost its seat.
pub(in crate::logic::direct) fn on_endpoint_restarted(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    seat: Option<&GroupSeat>,
    out: &mut Vec<Effect>,
) {
    let plan = &mut state.plan;
    plan.opened_seats.remove(id);
    plan.confirmed.remove(id);
    plan.restarted.insert(id.clone());
    plan.left.remove(id);
    plan.gone.remove(id);
    plan.doubted.remove(id);
    plan.staging.remove(id);
    plan.detached_loads.remove(id);
    plan.load_pauses.remove(id);
    plan.known_loads.remove(id);
    if plan.probes.remove(id).is_some_and(|p| p.pending) {
        plan.probes_pending = plan.probes_pending.saturating_sub(1);
    }
    let was_lost = plan.lost.remove(id).is_some();
    if plan.pass_fence == 0 {
        return;
    }
    plan.next_pass = now;
    if !was_lost {
        readiness::on_endpoint_lost(state, now);
    }
    form::give_up_with(state, now, id, "a member has restarted", out);
    // The head's earlier process has stopped, so its group has ended whichever members are left.
    let headed = seat.filter(|s| s.rank == 0).map(|s| s.group.clone());
    let is_head = |(_, e): &(&Arc<str>, &EndingGroup)| e.head.as_ref() == Some(id);
    let ending = state.plan.ending.iter().find(is_head);
    for group in headed
        .into_iter()
        .chain(ending.map(|(group, _)| group.clone()))
    {
        match state.plan.ending.remove(&group) {
            Some(ending) => record_end(state, now, &group, &ending, EndProof::Restarted, out),
            None => {
                state.plan.ended.insert(group);
            }
        }
    }
}

/// Advances every group that is ending.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let names: Vec<_> = state.plan.ending.keys().cloned().collect();
    for group in names {
        let Some(mut ending) = state.plan.ending.remove(&group) else {
            continue;
        };
        if advance(state, now, &group, &mut ending, out) {
            state.plan.ending.insert(group, ending);
        }
    }
}

/// Takes the next step of one group. False once the group has ended.
fn advance(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    ending: &mut EndingGroup,
    out: &mut Vec<Effect>,
) -> bool {
    if ending.head.is_none() {
        ending.head = listed_head(state, group);
    }
    if matches!(ending.step, EndingStep::Confirming | EndingStep::Breaking) {
        for id in listed_others(state, group) {
            if !ending.others.contains(&id) {
                ending.others.push(id);
            }
        }
        // An instance of it that is listed again shows the group anew.
        let mut members = ending.head.iter().chain(&ending.others);
        if !members.any(|id| may_hold_seat(state, ending, id)) {
            return false;
        }
    }
    if let Some(proof) = end_proof(state, group, ending) {
        record_end(state, now, group, ending, proof, out);
        return false;
    }
    if is_called_off(state, ending) {
        out.push(Effect::Log(
            LogEvent::new(LogCode::EndingCalledOff).with("group", group),
        ));
        return false;
    }
    if let Some(head) = &ending.head {
        let is_confirming = ending.step == EndingStep::Confirming;
        let is_absent = order::is_out_of_reach(state, head) && !state.plan.lost.contains_key(head);
        if is_confirming || is_absent {
            probe::send_if_due(state, now, head, out);
        }
    }
    let next = next_step(state, now, group, ending);
    if next != ending.step {
        ending.step = next;
        ending.step_since = now;
        ending.ordered_at = now;
        send_orders(state, group, ending);
    } else if now >= ending.ordered_at + state.params.reorder_ms {
        ending.ordered_at = now;
        send_orders(state, group, ending);
    }
    true
}

/// Whether a group goes on: it only ends because its head was lost, which was found again before anything
/// was ordered.
fn is_called_off(state: &DirectState, ending: &EndingGroup) -> bool {
    let is_found =
        |id: &InstanceId| state.endpoints.contains_key(id) && !state.plan.lost.contains_key(id);
    let began_here = ending.step_since == ending.began_at;
    ending.step == EndingStep::Confirming
        && began_here
        && ending.head.as_ref().is_some_and(is_found)
}

/// The step that the group is in now.
fn next_step(
    state: &DirectState,
    now: Millis,
    group: &Arc<str>,
    ending: &EndingGroup,
) -> EndingStep {
    let head = ending.head.as_ref();
    let is_lost =
        head.is_none_or(|id| state.plan.lost.contains_key(id) || !state.endpoints.contains_key(id));
    match ending.step {
        EndingStep::Closing | EndingStep::Leaving if is_lost => EndingStep::Confirming,
        EndingStep::Closing => {
            let is_closed =
                head.and_then(|id| seat_state(state, id, group)) == Some(SeatState::Ready);
            if is_closed || now >= ending.step_since + closing_limit_ms(state, head) {
                EndingStep::Leaving
            } else {
                EndingStep::Closing
            }
        }
        EndingStep::Confirming if !is_lost && ending.drains => EndingStep::Closing,
        EndingStep::Confirming | EndingStep::Breaking if !is_lost => EndingStep::Leaving,
        EndingStep::Confirming if now >= ending.step_since + confirm_limit_ms(state, head) => {
            EndingStep::Breaking
        }
        step => step,
    }
}

/// How long a closing group gets to finish its requests: as long as any request to its service may take.
fn closing_limit_ms(state: &DirectState, head: Option<&InstanceId>) -> Millis {
    let service = head
        .and_then(|id| state.endpoints.get(id))
        .map(|v| &v.entry.service);
    let routing = state.routing.as_ref();
    let longest = service.zip(routing).map(|(s, r)| r.longest_timeout_ms(s));
    MIN_CLOSING_LIMIT_MS.max(longest.unwrap_or(0) + CLOSING_SLACK_MS)
}

/// How long other routers get to confirm that a head has stopped, before the other members
/// are ordered to leave, which breaks it. A head that a router finds alive gets as long as
/// an orderly end may take; once no router reaches the head, nothing more is to be learnt.
fn confirm_limit_ms(state: &DirectState, head: Option<&InstanceId>) -> Millis {
    if head.is_some_and(|id| probe::is_found_alive(state, id)) {
        closing_limit_ms(state, head)
    } else if head.is_some_and(|id| probe::is_loss_confirmed(state, id)) {
        0
    } else {
        CONFIRM_LIMIT_MS
    }
}

/// What proves by now that the group has ended, if anything does.
fn end_proof(state: &DirectState, group: &Arc<str>, ending: &EndingGroup) -> Option<EndProof> {
    let head = ending.head.as_ref();
    let seat = head.and_then(|id| seat_state(state, id, group));
    if seat == Some(SeatState::Broken) {
        return Some(EndProof::Broken);
    }
    let view = head.and_then(|id| state.endpoints.get(id));
    if view.is_some_and(|v| v.epoch() > ending.epoch) {
        return Some(EndProof::Left);
    }
    let is_gone = || head.is_some_and(|id| probe::is_stop_confirmed(state, id));
    match ending.step {
        EndingStep::Confirming | EndingStep::Breaking if is_gone() => Some(EndProof::Gone),
        _ => None,
    }
}

/// The listed state of an endpoint's seat in this group.
fn seat_state(state: &DirectState, id: &InstanceId, group: &Arc<str>) -> Option<SeatState> {
    let seat = state.endpoints.get(id)?.entry.seat.as_ref()?;
    (seat.group == *group).then_some(seat.state)
}

/// Whether the group that an endpoint has a seat in has ended, or is ending in another step
/// than `Closing`, in which its head finishes its requests.
pub(in crate::logic::direct) fn is_in_retired_group(state: &DirectState, id: &InstanceId) -> bool {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    seat.is_some_and(|s| {
        let is_not_closing = |e: &EndingGroup| e.step != EndingStep::Closing;
        state.plan.ended.contains(&s.group)
            || state.plan.ending.get(&s.group).is_some_and(is_not_closing)
    })
}
