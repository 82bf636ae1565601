//! What this router knows of endpoints: the list and its own experience.

use super::{digests, limit, plan, DirectState, EndpointView, EntryNews, LookResult, Sight};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis};

/// Time that an endpoint which has left the list is remembered.
const REMEMBERED_MS: Millis = 15_000;

/// Shortest pause that lies between two passes of an engine; what comes sooner
/// belongs to the same pass.
const PASS_MS: Millis = 15;

/// Time that a full endpoint gets nothing new.
const FULL_MS: Millis = 60;

/// Failures in a row after which an endpoint is left alone for longer.
const DOUBLINGS: u32 = 3;

/// The list was read whole.
pub(super) fn listed(
    state: &mut DirectState,
    now: Millis,
    entries: Vec<(InstanceId, EndpointEntry)>,
    out: &mut Vec<Effect>,
) {
    state.listed = true;
    let named: std::collections::BTreeSet<_> = entries.iter().map(|(id, _)| id.clone()).collect();
    let known: Vec<_> = state.endpoints.keys().cloned().collect();
    for id in known.into_iter().filter(|id| !named.contains(id)) {
        changed(state, now, id, None, out);
    }
    for (id, entry) in entries {
        changed(state, now, id, Some(entry), out);
    }
    state.listed_once = true;
    let heads = state.endpoints.values().filter(|v| v.listed && v.heads());
    let note = Note::new(NoteCode::ListRead)
        .with("revision", state.listed_at.revision)
        .with("era", state.listed_at.era)
        .with("endpoints", named.len())
        .with("heads", heads.count());
    out.push(Effect::Note(note));
}

/// One entry of the list has changed, or has gone.
pub(super) fn changed(
    state: &mut DirectState,
    now: Millis,
    id: InstanceId,
    entry: Option<EndpointEntry>,
    out: &mut Vec<Effect>,
) {
    let Some(entry) = entry else {
        if let Some(view) = state.endpoints.get_mut(&id).filter(|v| v.listed) {
            view.listed = false;
            view.beat_at = now;
            out.push(Effect::Note(
                Note::new(NoteCode::EndpointUnlisted).with("endpoint", &id),
            ));
            digests::note(state, EntryNews::Gone(id));
        }
        return;
    };
    if let Some(view) = state.endpoints.get(&id) {
        if is_old(view, &entry) {
            return;
        }
        if entry.restarts(&view.entry) {
            started_again(state, now, &id, &entry, out);
        }
    }
    let entry = plan::apply_known_seat(state, &id, entry);
    let Some(view) = state.endpoints.get_mut(&id) else {
        // What the first reading shows is one event, not one for each endpoint.
        if state.listed_once {
            let note = Note::new(NoteCode::EndpointListed)
                .with("endpoint", &id)
                .with("domain", &entry.domain)
                .with("service", &entry.service);
            out.push(Effect::Note(note));
        }
        digests::note(state, EntryNews::Listed(id.clone(), entry.clone()));
        let view = EndpointView {
            new: state.listed_once,
            ..EndpointView::new(entry, now)
        };
        state.endpoints.insert(id, view);
        return;
    };
    let news = if view.listed {
        EntryNews::of(&id, &view.entry, &entry)
    } else {
        Some(EntryNews::Listed(id.clone(), entry.clone()))
    };
    if entry.leaving && !view.entry.leaving {
        out.push(Effect::Note(
            Note::new(NoteCode::EndpointLeaving).with("endpoint", &id),
        ));
    }
    if entry.beats != view.entry.beats {
        view.beat_at = now;
    }
    let group = |e: &EndpointEntry| e.seat.as_ref().map(|s| s.epoch);
    if group(&view.entry) != group(&entry) {
        // In another group it is as good as another endpoint.
        view.limit = 0;
        view.quick = 0;
        view.silent = None;
        view.heard = now;
        view.pause = 0;
        view.shunned = 0;
        view.failures = 0;
        view.broke = 0;
    }
    view.listed = true;
    view.last = entry.model.clone().or_else(|| view.last.take());
    view.entry = entry;
    if let Some(news) = news {
        digests::note(state, news);
    }
}

/// Whether an entry tells less than what is known: a store that has come back from a copy
/// shows what was written before, also of endpoints that have left since.
fn is_old(view: &EndpointView, entry: &EndpointEntry) -> bool {
    let known = &view.entry;
    let again = !view.listed && known.born.is_some() && known.born == entry.born;
    entry.precedes(known) || (again && entry.beats <= known.beats)
}

/// An endpoint has started again under its id: it holds no place in a group, and nothing
/// that was learnt of it holds.
fn started_again(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    entry: &EndpointEntry,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let note = Note::new(NoteCode::EndpointRestarted)
        .with("endpoint", id)
        .with("born", entry.born.unwrap_or(0))
        .with("running", view.running);
    out.push(Effect::Note(note));
    let before = std::mem::replace(
        view,
        EndpointView {
            new: state.listed_once,
            running: view.running,
            unread: view.unread,
            ..EndpointView::new(entry.clone(), now)
        },
    );
    digests::note(state, EntryNews::Listed(id.clone(), entry.clone()));
    plan::on_endpoint_restarted(state, now, id, before.entry.seat.as_ref(), out);
}

/// An endpoint's own report names another life than the list: the list's word is over.
pub(super) fn reported(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &LookResult,
    out: &mut Vec<Effect>,
) {
    let LookResult::Alive { born, seat, .. } = result else {
        return;
    };
    let Some(view) = state.endpoints.get(id).filter(|v| v.listed) else {
        return;
    };
    let entry = EndpointEntry {
        born: *born,
        beats: 0,
        leaving: false,
        model: None,
        seat: seat.clone(),
        ..view.entry.clone()
    };
    if entry.restarts(&view.entry) {
        changed(state, now, id.clone(), Some(entry), out);
    }
}

/// The planner has told of an entry; with `later` it is of a later revision than what
/// this router knows of the list, and newer within one group. An entry with more heartbeats
/// or in a later group is newer in any case: the planner may know of a group before the
/// list shows it.
///
/// False where it is about an endpoint that this router should know of and doesn't.
pub(super) fn told(
    state: &mut DirectState,
    now: Millis,
    news: EntryNews,
    later: bool,
    out: &mut Vec<Effect>,
) -> bool {
    let known = state.endpoints.get(news.id()).filter(|v| v.listed);
    let older = known.map(|v| (v.entry.clone(), v.epoch()));
    let newer = |born: Option<u64>, beats: u64, seat: &Option<GroupSeat>| {
        let epoch = seat.as_ref().map_or(0, |s| s.epoch);
        let past = |(e, at): &(EndpointEntry, u64)| {
            let further = epoch > *at || (later && epoch == *at);
            born > e.born || (born == e.born && (beats > e.beats || further))
        };
        older.as_ref().map_or(later, past)
    };
    match news {
        EntryNews::Gone(id) if later => changed(state, now, id, None, out),
        EntryNews::Gone(_) => {}
        EntryNews::Listed(id, entry) => {
            if newer(entry.born, entry.beats, &entry.seat) {
                changed(state, now, id, Some(entry), out);
            }
        }
        EntryNews::Changed {
            id,
            born,
            beats,
            leaving,
            model,
            seat,
        } => {
            if !newer(born, beats, &seat) {
                return true;
            }
            // Of a life that was never heard of the rest isn't known.
            let Some((older, _)) = older.filter(|(e, _)| e.born == born) else {
                return false;
            };
            let entry = EndpointEntry {
                beats,
                leaving,
                model,
                seat,
                ..older
            };
            changed(state, now, id, Some(entry), out);
        }
    }
    true
}

/// Forgets endpoints that left the list long ago.
pub(super) fn tend(state: &mut DirectState, now: Millis) {
    state
        .endpoints
        .retain(|_, v| v.listed || v.running > 0 || now < v.beat_at + REMEMBERED_MS);
}

fn running_at(state: &mut DirectState, request: u64) -> Option<&mut EndpointView> {
    let run = state.flights.get(&request)?.run.as_ref()?;
    state.endpoints.get_mut(&run.at)
}

fn at(state: &DirectState, request: u64) -> Option<InstanceId> {
    let run = state.flights.get(&request)?.run.as_ref()?;
    Some(run.at.clone())
}

/// The endpoint of a request's run has sent something.
pub(super) fn heard(state: &mut DirectState, now: Millis, request: u64, heard: bool) {
    let Some(view) = running_at(state, request).filter(|_| heard) else {
        return;
    };
    let pause = now.saturating_sub(view.heard);
    if pause >= PASS_MS {
        view.pause = pause.max(view.pause - view.pause / 16);
    }
    view.heard = now;
    view.spoke = now;
    view.silent = None;
}

/// Time for which a run that broke off tells that its endpoint is over, where its
/// address refuses connections by then: what is looked at later may have begun anew.
const BROKE_MS: Millis = 3_000;

/// A run at the endpoint of a request has broken off.
pub(super) fn broke_off(state: &mut DirectState, now: Millis, request: u64) {
    if let Some(view) = running_at(state, request) {
        view.broke = now;
    }
}

/// What this router can tell of an endpoint that was looked for since `since`.
pub(super) fn sight(
    state: &DirectState,
    now: Millis,
    id: &InstanceId,
    result: &LookResult,
    since: Millis,
) -> Sight {
    let view = state.endpoints.get(id);
    let spoke = view.is_some_and(|v| v.spoke > since);
    let works = view.is_some_and(|v| v.running > 0);
    let broke = view.is_some_and(|v| v.broke > 0 && now < v.broke + BROKE_MS);
    match result {
        LookResult::Replaced => Sight::Gone,
        LookResult::Alive { .. } => Sight::Alive,
        _ if spoke => Sight::Alive,
        LookResult::Silent => Sight::Silent,
        LookResult::Refused if works => Sight::Alive,
        LookResult::Refused if broke => Sight::Gone,
        LookResult::Refused => Sight::Refuses,
    }
}

/// The endpoint has begun to answer: it has read the prompt.
pub(super) fn begun(state: &mut DirectState, request: u64) {
    let Some(flight) = state.flights.get_mut(&request) else {
        return;
    };
    let prompt = u64::from(flight.prompt);
    let Some(run) = flight.run.as_mut().filter(|r| !r.begun) else {
        return;
    };
    run.begun = true;
    if let Some(view) = state.endpoints.get_mut(&run.at) {
        view.unread = view.unread.saturating_sub(prompt);
    }
}

/// The run of a request is over, however it ended.
pub(super) fn release(state: &mut DirectState, request: u64) {
    begun(state, request);
    let Some(run) = state.flights.get_mut(&request).and_then(|f| f.run.take()) else {
        return;
    };
    state.runs.remove(&run.id);
    if let Some(view) = state.endpoints.get_mut(&run.at) {
        view.running = view.running.saturating_sub(1);
    }
}

/// The endpoint has served a request.
pub(super) fn served(state: &mut DirectState, request: u64) {
    if let Some(view) = running_at(state, request) {
        view.failures = 0;
    }
}

/// The endpoint had no room for a request.
pub(super) fn shed(state: &mut DirectState, now: Millis, request: u64) {
    if let Some(view) = running_at(state, request) {
        view.shunned = view.shunned.max(now + FULL_MS);
    }
    if let Some(at) = at(state, request) {
        limit::full(state, now, &at);
    }
}

/// A run at the endpoint has failed: it is left alone for a while.
pub(super) fn failed(
    state: &mut DirectState,
    now: Millis,
    request: u64,
    refused: bool,
    out: &mut Vec<Effect>,
) {
    let shun = state.knobs.shun_ms;
    let Some(view) = running_at(state, request) else {
        return;
    };
    view.failures += 1;
    let times = if refused {
        1
    } else {
        view.failures.min(DOUBLINGS) - 1
    };
    let long = (shun / 4) << times;
    view.shunned = view.shunned.max(now + long);
    if refused {
        view.silent.get_or_insert(now);
    }
    let failures = view.failures;
    let at = state.flights.get(&request).and_then(|f| f.run.as_ref());
    if let Some(run) = at {
        let note = Note::new(NoteCode::EndpointFailed)
            .with("endpoint", &run.at)
            .with("refused", refused)
            .with("failures", failures)
            .with("left_alone", long);
        out.push(Effect::Note(note));
    }
}
