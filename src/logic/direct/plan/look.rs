//! Looks at endpoints that may be lost.

use std::sync::Arc;

use super::{cover, form, survey};
use crate::logic::direct::{endpoints, peers, DirectEffect, DirectState, LookResult, Sight};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis};

/// Looks without an answer after which an endpoint is lost.
const MISSES: u32 = 2;

/// Shortest time between two looks at an endpoint that answered.
const AGAIN_MS: Millis = 400;

/// Time between two looks at an endpoint that was lost and beats again.
const LOST_AGAIN_MS: Millis = 1_000;

/// Other routers that are asked about a head that is missed, where there are so
/// many. All of them must miss it as well: some may be cut off together.
const ASKED: usize = 4;

/// Time after which other routers are asked anew about a head that is missed: as
/// long as a group waits for their answers.
const ASK_AGAIN_MS: Millis = 400;

/// Looks at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Look {
    /// Whether an answer is awaited.
    pub pending: bool,
    /// Looks without an answer, in a row.
    pub misses: u32,
    /// When the last one began.
    pub since: Millis,
    /// Questions to other routers that aren't answered.
    pub asked: Vec<u64>,
    /// When they were last asked.
    pub asked_at: Millis,
    /// What this router saw itself, where it missed the endpoint.
    pub own: Option<Sight>,
    /// What other routers saw, since they were last asked.
    pub others: Vec<Sight>,
}

impl Look {
    /// Whether any router knows that the endpoint lives.
    fn alive(&self) -> bool {
        self.sights().any(|s| s == Sight::Alive)
    }

    /// Whether what was seen shows that the endpoint is over. That it refuses
    /// connections alone doesn't: one that stops in order does so as well while it
    /// finishes its work.
    fn over(&self) -> bool {
        let any = |sight| self.sights().any(|s| s == sight);
        !any(Sight::Alive) && (!any(Sight::Refuses) || any(Sight::Gone))
    }

    fn sights(&self) -> impl Iterator<Item = Sight> + '_ {
        self.own.iter().chain(&self.others).copied()
    }
}

/// A head is silent: the planner looks at all members of its group.
pub(in crate::logic::direct) fn suspect(
    state: &mut DirectState,
    now: Millis,
    head: &InstanceId,
    out: &mut Vec<Effect>,
) {
    if !state.plan.duty.holds(now) {
        return;
    }
    let seat = state.endpoints.get(head).and_then(|v| v.entry.seat.clone());
    let Some(group) = seat.map(|s| s.group) else {
        return at(state, now, head, out);
    };
    for id in members(state, &group) {
        at(state, now, &id, out);
    }
}

fn members(state: &DirectState, group: &Arc<str>) -> Vec<InstanceId> {
    let inside = |v: &crate::logic::direct::EndpointView| {
        v.entry.seat.as_ref().is_some_and(|s| s.group == *group)
    };
    let found = state.endpoints.iter().filter(|(_, v)| inside(v));
    found.map(|(id, _)| id.clone()).collect()
}

/// Looks at everyone who has a place in a group: this planner knows nothing yet.
pub(super) fn all(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let seated = state
        .endpoints
        .iter()
        .filter(|(_, v)| v.entry.seat.is_some() && survey::planned(state, v));
    let seated: Vec<_> = seated.map(|(id, _)| id.clone()).collect();
    for id in seated {
        at(state, now, &id, out);
    }
}

/// Looks at an endpoint, unless that was done just now.
pub(super) fn at(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let look = state.plan.looks.entry(id.clone()).or_default();
    if look.pending || (look.since > 0 && now < look.since + AGAIN_MS) {
        return;
    }
    send(state, now, id, out);
}

fn send(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let Some(addr) = state.endpoints.get(id).map(|v| v.entry.addr) else {
        return;
    };
    let look = state.plan.looks.entry(id.clone()).or_default();
    look.pending = true;
    look.since = now;
    out.push(Effect::Direct(DirectEffect::Look {
        id: id.clone(),
        addr,
    }));
}

/// An endpoint was looked at.
pub(in crate::logic::direct) fn looked(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: LookResult,
    out: &mut Vec<Effect>,
) {
    if !state.plan.duty.holds(now) {
        return;
    }
    let since = state.plan.looks.get(id).map_or(now, |l| l.since);
    endpoints::on_probe_result(state, now, id, &result, out);
    let sight = endpoints::observation(state, now, id, &result, since);
    let look = state.plan.looks.entry(id.clone()).or_default();
    look.pending = false;
    look.own = Some(sight);
    match result {
        LookResult::Alive { seat, .. } => {
            *look = Look {
                since: look.since,
                ..Look::default()
            };
            if state.plan.lost.remove(id).is_some() {
                out.push(Effect::Note(
                    Note::new(NoteCode::EndpointFound).with("endpoint", id),
                ));
            }
            // Its place in a group is the list's to say, as a report may be older;
            // but what it says of a group that is being formed is new.
            if let Some(seat) = seat {
                form::told(state, id, &seat);
            }
            calm(state, now, id);
        }
        LookResult::Refused | LookResult::Replaced => {
            ask(state, now, id, out);
            lose(state, now, id, "refused", out);
        }
        // What it sent since then is as good as an answer.
        LookResult::Silent if sight == Sight::Alive => look.misses = 0,
        LookResult::Silent => {
            look.misses += 1;
            let enough = look.misses >= MISSES;
            ask(state, now, id, out);
            if enough {
                lose(state, now, id, "silent", out);
            } else {
                send(state, now, id, out);
            }
        }
    }
}

/// Asks other routers about a head that is missed, once in a while.
fn ask(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    let head = seat.is_some_and(|s| s.rank == 0);
    let look = state.plan.looks.get(id);
    let due = look.is_some_and(|l| l.asked_at == 0 || now >= l.asked_at + ASK_AGAIN_MS);
    if !head || !due {
        return;
    }
    let asked = peers::send_probe_requests(state, id, ASKED, out);
    if let Some(look) = state.plan.looks.get_mut(id) {
        look.asked = asked;
        look.asked_at = now;
        look.others.clear();
    }
}

/// Another router has looked.
pub(in crate::logic::direct) fn seen(state: &mut DirectState, number: u64, sight: Sight) {
    for look in state.plan.looks.values_mut() {
        if let Some(at) = look.asked.iter().position(|n| *n == number) {
            look.asked.swap_remove(at);
            look.others.push(sight);
        }
    }
}

/// Whether other routers agree that an endpoint is over.
pub(super) fn agreed(state: &DirectState, id: &InstanceId) -> bool {
    let needed = ASKED.min(state.peers.len()).max(1);
    let look = state.plan.looks.get(id);
    look.is_some_and(|l| l.others.len() >= needed && l.over())
}

/// Whether any router knows that a head which is missed still works.
pub(super) fn works(state: &DirectState, id: &InstanceId) -> bool {
    state.plan.looks.get(id).is_some_and(Look::alive)
}

fn lose(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.silent.get_or_insert(now);
    let beat_age = now.saturating_sub(view.beat_at);
    if state.plan.lost.insert(id.clone(), now).is_none() {
        cover::died(state, now);
        let note = Note::new(NoteCode::EndpointLost)
            .with("endpoint", id)
            .with("why", why)
            .with("beat_age", beat_age);
        out.push(Effect::Note(note));
        state.plan.look_at = now;
    }
}

/// Where every member of a silent head's group answers, the group is only slow.
fn calm(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.clone());
    let Some(group) = seat.map(|s| s.group) else {
        return;
    };
    let members = members(state, &group);
    let answered = |id: &InstanceId| {
        let look = state.plan.looks.get(id);
        look.is_some_and(|l| !l.pending && l.misses == 0 && now < l.since + AGAIN_MS)
    };
    if !members.iter().all(answered) {
        return;
    }
    for id in &members {
        if let Some(view) = state.endpoints.get_mut(id) {
            if view.silent.take().is_some() {
                view.pause = view.pause.max(now.saturating_sub(view.heard));
            }
        }
    }
}

/// Looks again at endpoints that were lost and beat on.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let endpoints = &state.endpoints;
    state.plan.lost.retain(|id, _| endpoints.contains_key(id));
    state.plan.looks.retain(|id, _| endpoints.contains_key(id));
    let beats = |id: &InstanceId, since: Millis| {
        let view = endpoints.get(id);
        view.is_some_and(|v| v.listed && v.beat_at > since)
    };
    let again: Vec<InstanceId> = state
        .plan
        .lost
        .iter()
        .filter(|(id, since)| beats(id, **since))
        .map(|(id, _)| id.clone())
        .collect();
    for id in again {
        let since = state.plan.looks.get(&id).map_or(0, |l| l.since);
        if now >= since + LOST_AGAIN_MS {
            at(state, now, &id, out);
        }
    }
}
