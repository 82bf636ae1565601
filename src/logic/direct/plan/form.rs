//! Forms groups: every member joins, all get ready, the head opens.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{look, order, retire, Ending, EndingStep, Forming, OrderUse};
use crate::logic::direct::{digests, DirectState, GroupStep};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, SeatState};

/// Epochs that one fence has room for.
const EPOCHS: u64 = 4_096;

/// What a group may take beyond the published times before it is given up.
const SLACK_MS: Millis = 3_000;

/// An epoch above every one that was given out before, by any planner.
pub(super) fn next_epoch(state: &mut DirectState) -> u64 {
    state.plan.named += 1;
    state.plan.duty.fence * EPOCHS + state.plan.named
}

/// Time beyond the published one after which members that aren't ready are
/// looked at.
const LATE_MS: Millis = 150;

/// Begins a group.
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
    let note = Note::new(NoteCode::GroupForming)
        .with("group", &group)
        .with("model", &model)
        .with("domain", &place.1)
        .with("members", names(&members))
        .with("expected_ms", takes);
    out.push(Effect::Note(note));
    let forming = Forming {
        epoch,
        service: place.0.clone(),
        domain: place.1.clone(),
        model,
        members,
        taken: BTreeSet::new(),
        seen: BTreeMap::new(),
        asked: now,
        since: now,
        limit: now + takes + SLACK_MS,
        opened: None,
        adopted: false,
    };
    for member in &forming.members {
        state.plan.staging.remove(member);
    }
    join(state, &group, &forming, out);
    state.plan.forming.insert(group, forming);
}

fn names(members: &[InstanceId]) -> String {
    let names: Vec<_> = members.iter().map(InstanceId::as_str).collect();
    names.join(",")
}

/// Tells every member that hasn't taken the order yet to join.
fn join(state: &mut DirectState, group: &Arc<str>, forming: &Forming, out: &mut Vec<Effect>) {
    for id in &forming.members {
        if forming.taken.contains(id) {
            continue;
        }
        let step = GroupStep::Join {
            group: group.clone(),
            epoch: forming.epoch,
            model: forming.model.clone(),
            members: forming.members.clone(),
        };
        order::give(state, id, step, OrderUse::Join(group.clone()), out);
    }
}

/// Goes on with every group that is being formed.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let names: Vec<_> = state.plan.forming.keys().cloned().collect();
    for group in names {
        let Some(mut forming) = state.plan.forming.remove(&group) else {
            continue;
        };
        if go_on(state, now, &group, &mut forming, out) {
            state.plan.forming.insert(group, forming);
        }
    }
}

/// The next step of one group; false when it is open or given up.
fn go_on(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    forming: &mut Forming,
    out: &mut Vec<Effect>,
) -> bool {
    let seats: Vec<_> = forming
        .members
        .iter()
        .map(|id| newest(seat(state, id, group), forming.seen.get(id).copied()))
        .collect();
    if seats.first() == Some(&Some(SeatState::Open)) {
        let note = Note::new(NoteCode::GroupOpened)
            .with("group", group)
            .with("took", now.saturating_sub(forming.since));
        out.push(Effect::Note(note));
        seat_all(state, now, group, forming);
        return false;
    }
    let lost = forming
        .members
        .iter()
        .find(|id| !stands(state, id))
        .cloned();
    if lost.is_some() || now >= forming.limit {
        let why = lost.map_or("its time is over".to_string(), |id| format!("{id} is lost"));
        give_up(state, now, group, forming, &why, out);
        return false;
    }
    for (id, seat) in forming.members.iter().zip(&seats) {
        if seat.is_some() {
            forming.taken.insert(id.clone());
        }
    }
    if forming.taken.len() < forming.members.len() && now >= forming.asked + state.knobs.order_ms {
        forming.asked = now;
        join(state, group, forming, out);
    }
    if now + SLACK_MS >= forming.limit + LATE_MS {
        for (id, seat) in forming.members.iter().zip(&seats) {
            if !matches!(seat, Some(SeatState::Ready | SeatState::Open)) {
                look::at(state, now, id, out);
            }
        }
    }
    let ready = |s: &Option<SeatState>| matches!(s, Some(SeatState::Ready | SeatState::Open));
    let due = forming
        .opened
        .is_none_or(|at| now >= at + state.knobs.order_ms);
    if seats.iter().all(ready) && due {
        forming.opened = Some(now);
        let head = forming.members[0].clone();
        let step = GroupStep::Open {
            group: group.clone(),
            epoch: forming.epoch,
        };
        order::give(state, &head, step, OrderUse::Open(group.clone()), out);
    }
    true
}

/// The members of an open group keep their places, though the list may lag behind.
fn seat_all(state: &mut DirectState, now: Millis, group: &Arc<str>, forming: &Forming) {
    for (rank, id) in forming.members.iter().enumerate() {
        let seat = GroupSeat {
            group: group.clone(),
            epoch: forming.epoch,
            rank,
            state: if rank == 0 {
                SeatState::Open
            } else {
                SeatState::Ready
            },
        };
        let Some(view) = state.endpoints.get_mut(id) else {
            continue;
        };
        if view.epoch() < forming.epoch {
            view.entry.seat = Some(seat.clone());
            view.entry.model = Some(forming.model.clone());
            state
                .plan
                .seats
                .insert(id.clone(), (seat, forming.model.clone()));
            if rank == 0 {
                digests::on_head_opened(state, now, id);
            }
        }
    }
}

/// An entry of the list, in which a place that this planner knows better stands.
pub(in crate::logic::direct) fn corrected(
    state: &mut DirectState,
    id: &InstanceId,
    mut entry: EndpointEntry,
) -> EndpointEntry {
    let Some((seat, model)) = state.plan.seats.get(id) else {
        return entry;
    };
    let listed = entry.seat.as_ref().map_or(0, |s| s.epoch);
    if listed >= seat.epoch || state.plan.ended.contains(&seat.group) {
        state.plan.seats.remove(id);
        return entry;
    }
    entry.seat = Some(seat.clone());
    entry.model = Some(model.clone());
    entry
}

/// Gives a group up that isn't open; its members are free once nothing can open it.
pub(super) fn give_up(
    state: &mut DirectState,
    now: Millis,
    group: &Arc<str>,
    forming: &Forming,
    why: &str,
    out: &mut Vec<Effect>,
) {
    let note = Note::new(NoteCode::GroupGivenUp)
        .with("group", group)
        .with("why", why);
    out.push(Effect::Note(note));
    if forming.opened.is_some() || forming.adopted {
        let ending = Ending {
            epoch: forming.epoch,
            head: forming.members.first().cloned(),
            others: forming.members.iter().skip(1).cloned().collect(),
            step: EndingStep::Leaving,
            since: now,
            asked: now,
            left: None,
        };
        retire::enter(state, now, group, ending, out);
    } else {
        state.plan.ended.insert(group.clone());
    }
}

/// A member has told its place in a group that is being formed.
pub(super) fn told(state: &mut DirectState, id: &InstanceId, seat: &GroupSeat) {
    if let Some(forming) = state.plan.forming.get_mut(&seat.group) {
        if forming.epoch == seat.epoch {
            forming.seen.insert(id.clone(), seat.state);
        }
    }
}

/// Whether a member can still be counted on.
fn stands(state: &DirectState, id: &InstanceId) -> bool {
    let view = state.endpoints.get(id);
    let there = view.is_some_and(|v| !v.entry.leaving);
    there && !state.plan.lost.contains_key(id)
}

/// What is known of a member's place: the list's word, unless its own is ahead.
fn newest(listed: Option<SeatState>, seen: Option<SeatState>) -> Option<SeatState> {
    match listed {
        None | Some(SeatState::Joining) => seen.or(listed),
        further => further,
    }
}

/// How far a member is with its place in this group.
fn seat(state: &DirectState, id: &InstanceId, group: &Arc<str>) -> Option<SeatState> {
    let seat = state.endpoints.get(id)?.entry.seat.as_ref()?;
    (seat.group == *group).then_some(seat.state)
}
