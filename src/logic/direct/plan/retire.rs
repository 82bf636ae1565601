//! Gives groups up: nobody joins anew before the head has stopped.

use std::sync::Arc;

use super::{order, Ending, EndingStep, OrderUse};
use crate::logic::direct::{DirectState, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis, SeatState};

/// Longest time that a closing group gets for what it has.
const CLOSING_MS: Millis = 3_000;

/// Begins to give a group up. With `drain` its head finishes what it has.
pub(super) fn begin(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    epoch: u64,
    head: Option<InstanceId>,
    drain: bool,
    out: &mut Vec<Effect>,
) {
    let there = head.filter(|id| !state.plan.lost.contains_key(id));
    let note = Note::new(NoteCode::GroupEnding)
        .with("group", group)
        .with("drain", drain)
        .with("head", there.as_ref().map_or("lost", |id| id.as_str()));
    out.push(Effect::Note(note));
    let Some(head) = there else {
        state.plan.ended.insert(group.clone());
        return;
    };
    let step = if drain {
        EndingStep::Closing
    } else {
        EndingStep::Leaving
    };
    let ending = Ending {
        epoch,
        head,
        step,
        since: now,
        asked: now,
    };
    ask(state, now, group, &ending, out);
    state.plan.ending.insert(group.clone(), ending);
}

fn ask(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    ending: &Ending,
    out: &mut Vec<Effect>,
) {
    let (group, epoch) = (group.clone(), ending.epoch);
    let (step, used) = match ending.step {
        EndingStep::Closing => (
            GroupStep::Close {
                group: group.clone(),
                epoch,
            },
            OrderUse::Close(group),
        ),
        EndingStep::Leaving => (
            GroupStep::Leave {
                group: group.clone(),
                epoch,
            },
            OrderUse::Leave(group),
        ),
    };
    order::give(state, now, &ending.head, step, used, out);
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
    let view = state.endpoints.get(&ending.head);
    let seat = view.and_then(|v| v.entry.seat.as_ref());
    let here = seat.is_some_and(|s| s.group == *group);
    let broken = here && seat.is_some_and(|s| s.state == SeatState::Broken);
    let lost = view.is_none() || state.plan.lost.contains_key(&ending.head);
    let stalled = now >= ending.since + state.knobs.stall_ms + CLOSING_MS;
    if lost
        || broken
        || (!here && ending.step == EndingStep::Leaving && now > ending.asked)
        || stalled
    {
        state.plan.ended.insert(group.clone());
        return false;
    }
    let ready = here && seat.is_some_and(|s| s.state == SeatState::Ready);
    let late = now >= ending.since + CLOSING_MS;
    if ending.step == EndingStep::Closing && (ready || late) {
        ending.step = EndingStep::Leaving;
        ending.since = now;
        ending.asked = now;
        ask(state, now, group, ending, out);
    } else if now >= ending.asked + state.knobs.order_ms {
        ending.asked = now;
        ask(state, now, group, ending, out);
    }
    true
}

/// Whether the group that an endpoint has a place in is given up.
pub(in crate::logic::direct) fn given_up(state: &DirectState, id: &InstanceId) -> bool {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    seat.is_some_and(|s| {
        let leaving = |e: &Ending| e.step == EndingStep::Leaving;
        state.plan.ended.contains(&s.group) || state.plan.ending.get(&s.group).is_some_and(leaving)
    })
}
