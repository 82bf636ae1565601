//! Gives groups up: nobody joins anew before the head has stopped.

use std::sync::Arc;

use super::{cover, form, look, order, Ending, EndingStep, Forming, GroupView, OrderUse};
use crate::logic::direct::{DirectState, EndpointView, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{GroupSeat, InstanceId, Millis, SeatState};

/// Longest time that a closing group gets for what it has.
const CLOSING_MS: Millis = 3_000;

/// Time that other routers get to tell what they see.
const CONFIRM_MS: Millis = 400;

/// Time beyond the published one until a head has broken for certain.
const BREAK_SLACK_MS: Millis = 500;

/// Begins to give a group up. With `drain` its head finishes what it has.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    view: &GroupView,
    drain: bool,
    out: &mut Vec<Effect>,
) {
    let head = view.head().map(|s| s.id.clone());
    let others = view.seats.values().skip(usize::from(head.is_some()));
    let ending = Ending {
        epoch: view.epoch,
        others: others.map(|s| s.id.clone()).collect(),
        head: head.or_else(|| lost_head(state, group)),
        step: if drain {
            EndingStep::Closing
        } else {
            EndingStep::Leaving
        },
        since: now,
        asked: now,
        left: None,
    };
    enter(state, now, group, ending, out);
}

/// The head of a group, where it was lost.
fn lost_head(state: &DirectState, group: &Arc<str>) -> Option<InstanceId> {
    let heads = |id: &&InstanceId| {
        let seat = state.endpoints.get(*id).and_then(|v| v.entry.seat.as_ref());
        seat.is_some_and(|s| s.group == *group && s.rank == 0)
    };
    state.plan.lost.keys().find(heads).cloned()
}

/// The head of a group, where the list names it by now.
fn listed_head(state: &DirectState, group: &Arc<str>) -> Option<InstanceId> {
    let heads = |v: &EndpointView| {
        let seat = v.entry.seat.as_ref();
        seat.is_some_and(|s| s.group == *group && s.rank == 0)
    };
    let found = state.endpoints.iter().find(|(_, v)| heads(v));
    found.map(|(id, _)| id.clone())
}

/// Takes a group on that is to be given up.
pub(super) fn enter(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    mut ending: Ending,
    out: &mut Vec<Effect>,
) {
    let lost = ending
        .head
        .as_ref()
        .is_none_or(|id| state.plan.lost.contains_key(id));
    if lost {
        ending.step = EndingStep::Confirming;
    }
    let note = Note::new(NoteCode::GroupEnding)
        .with("group", group)
        .with("step", format!("{:?}", ending.step))
        .with(
            "head",
            ending.head.as_ref().map_or("unknown", |id| id.as_str()),
        );
    out.push(Effect::Note(note));
    ask(state, group, &ending, out);
    if go_on(state, now, group, &mut ending, out) {
        state.plan.ending.insert(group.clone(), ending);
    }
}

/// Gives the orders that a step needs.
fn ask(state: &mut DirectState, group: &Arc<str>, ending: &Ending, out: &mut Vec<Effect>) {
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
            order::give(state, head, step, OrderUse::Close(group.clone()), out);
        }
        (EndingStep::Leaving, Some(head)) => {
            let used = OrderUse::Leave(group.clone());
            order::give(state, head, leave(group), used, out);
        }
        (EndingStep::Breaking, _) => {
            for id in &ending.others {
                let used = OrderUse::Break(group.clone(), id.clone());
                order::give(state, id, leave(group), used, out);
            }
        }
        _ => {}
    }
}

/// The head has left: its group is over.
pub(super) fn over(state: &mut DirectState, group: Arc<str>) {
    if state.plan.ending.remove(&group).is_some() {
        state.plan.ended.insert(group);
    }
}

/// An endpoint has started again: the place that it had is void.
pub(in crate::logic::direct) fn started_again(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    seat: Option<&GroupSeat>,
    out: &mut Vec<Effect>,
) {
    let plan = &mut state.plan;
    plan.seats.remove(id);
    plan.staging.remove(id);
    plan.looks.remove(id);
    let missed = plan.lost.remove(id).is_some();
    if !plan.duty.holds(now) {
        return;
    }
    plan.look_at = now;
    if !missed {
        cover::died(state, now);
    }
    let joins = |(_, f): &(&Arc<str>, &Forming)| f.members.contains(id);
    let forming = state.plan.forming.iter().find(joins);
    if let Some(group) = forming.map(|(group, _)| group.clone()) {
        if let Some(forming) = state.plan.forming.remove(&group) {
            form::give_up(
                state,
                now,
                &group,
                &forming,
                "a member has started again",
                out,
            );
        }
    }
    // A head that has ended serves no more, whoever else is left.
    let led = seat.filter(|s| s.rank == 0).map(|s| s.group.clone());
    let given_up = |(_, e): &(&Arc<str>, &Ending)| e.head.as_ref() == Some(id);
    let ending = state.plan.ending.iter().find(given_up);
    for group in led
        .into_iter()
        .chain(ending.map(|(group, _)| group.clone()))
    {
        state.plan.ending.remove(&group);
        state.plan.ended.insert(group);
    }
}

/// A member has left a group whose head can't be told: from now it stands still.
pub(super) fn broken_off(state: &mut DirectState, now: Millis, group: &Arc<str>) {
    if let Some(ending) = state.plan.ending.get_mut(group) {
        ending.left.get_or_insert(now);
    }
}

/// Goes on with every group that is being given up.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let names: Vec<_> = state.plan.ending.keys().cloned().collect();
    for group in names {
        let Some(mut ending) = state.plan.ending.remove(&group) else {
            continue;
        };
        if go_on(state, now, &group, &mut ending, out) {
            state.plan.ending.insert(group, ending);
        }
    }
}

/// The next step of one group; false when it is over.
fn go_on(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    ending: &mut Ending,
    out: &mut Vec<Effect>,
) -> bool {
    if ending.head.is_none() {
        ending.head = listed_head(state, group);
    }
    if stopped(state, now, group, ending) {
        state.plan.ended.insert(group.clone());
        return false;
    }
    if let (EndingStep::Confirming, Some(head)) = (ending.step, &ending.head) {
        look::at(state, now, head, out);
    }
    let next = next_step(state, now, group, ending);
    if next != ending.step {
        ending.step = next;
        ending.since = now;
        ending.asked = now;
        ask(state, group, ending, out);
    } else if now >= ending.asked + state.knobs.order_ms {
        ending.asked = now;
        ask(state, group, ending, out);
    }
    true
}

/// What is awaited now.
fn next_step(state: &DirectState, now: Millis, group: &Arc<str>, ending: &Ending) -> EndingStep {
    let head = ending.head.as_ref();
    let lost =
        head.is_none_or(|id| state.plan.lost.contains_key(id) || !state.endpoints.contains_key(id));
    match ending.step {
        EndingStep::Closing | EndingStep::Leaving if lost => EndingStep::Confirming,
        EndingStep::Closing => {
            let ready = head.and_then(|id| seat(state, id, group)) == Some(SeatState::Ready);
            if ready || now >= ending.since + CLOSING_MS {
                EndingStep::Leaving
            } else {
                EndingStep::Closing
            }
        }
        EndingStep::Confirming | EndingStep::Breaking if !lost => EndingStep::Leaving,
        EndingStep::Confirming if now >= ending.since + confirming(state, head) => {
            EndingStep::Breaking
        }
        step => step,
    }
}

/// How long other routers get to tell that a head is over, before its members leave
/// and break it. One that still works gets the time of an orderly end.
fn confirming(state: &DirectState, head: Option<&InstanceId>) -> Millis {
    if head.is_some_and(|id| look::works(state, id)) {
        CLOSING_MS
    } else {
        CONFIRM_MS
    }
}

/// Whether the head has stopped for certain.
fn stopped(state: &DirectState, now: Millis, group: &Arc<str>, ending: &Ending) -> bool {
    let seat = ending.head.as_ref().and_then(|id| seat(state, id, group));
    if seat == Some(SeatState::Broken) {
        return true;
    }
    match ending.step {
        EndingStep::Confirming => ending
            .head
            .as_ref()
            .is_some_and(|id| look::agreed(state, id)),
        EndingStep::Breaking => {
            let alone = ending.others.is_empty().then_some(ending.since);
            let since = ending.left.or(alone);
            since.is_some_and(|at| now >= at + state.knobs.stall_ms + BREAK_SLACK_MS)
        }
        EndingStep::Closing | EndingStep::Leaving => false,
    }
}

/// How far an endpoint is with its place in a group.
fn seat(state: &DirectState, id: &InstanceId, group: &Arc<str>) -> Option<SeatState> {
    let seat = state.endpoints.get(id)?.entry.seat.as_ref()?;
    (seat.group == *group).then_some(seat.state)
}

/// Whether the group that an endpoint has a place in is given up.
pub(in crate::logic::direct) fn given_up(state: &DirectState, id: &InstanceId) -> bool {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    seat.is_some_and(|s| {
        let stops = |e: &Ending| e.step != EndingStep::Closing;
        state.plan.ended.contains(&s.group) || state.plan.ending.get(&s.group).is_some_and(stops)
    })
}
