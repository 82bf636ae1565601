//! Finds the requests under which endpoints crash.

use super::{share, Crash, CrashRecord, Doubt};
use crate::logic::direct::{end, DirectEffect, DirectState, Fingerprint, LookResult, Problem};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis};

/// Crashes from which on a request is handled with care: it runs once at a time, and no
/// router sends it again by itself.
const RISKY: usize = 2;

/// Shortest time between two looks at an endpoint that breaks answers off.
const LOOK_AGAIN_MS: Millis = 400;

/// Looks without an answer after which an endpoint is no longer looked at: it may be cut
/// off, which no request has done.
const MISSES: u32 = 3;

/// A run has broken off: its request is a suspect unless an event had come, or the same
/// request was answered whole lately.
pub(in crate::logic::direct) fn broke(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let Some(run) = flight.run.as_ref().filter(|r| !r.moved) else {
        return;
    };
    let Some(view) = state.endpoints.get(&run.at) else {
        return;
    };
    if state.crashes.served.contains(now, &flight.fingerprint) {
        return;
    }
    let at = run.at.clone();
    let doubt = state.crashes.doubts.entry(at.clone()).or_default();
    if doubt.requests.is_empty() {
        doubt.born = view.entry.born;
        doubt.misses = 0;
    }
    doubt.requests.insert(flight.fingerprint);
    look(state, now, &at, out);
}

/// Looks at an endpoint that may have crashed, unless that was done just now.
fn look(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let addr = state.endpoints.get(id).map(|v| v.entry.addr);
    let doubt = state.crashes.doubts.get_mut(id);
    let (Some(addr), Some(doubt)) = (addr, doubt) else {
        return;
    };
    if !doubt.looking && now >= doubt.next_at {
        doubt.looking = true;
        let id = id.clone();
        out.push(Effect::Direct(DirectEffect::Look { id, addr }));
    }
}

/// An endpoint was looked at.
pub(in crate::logic::direct) fn looked(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &LookResult,
    out: &mut Vec<Effect>,
) {
    let Some(doubt) = state.crashes.doubts.get_mut(id).filter(|d| d.looking) else {
        return;
    };
    doubt.looking = false;
    doubt.next_at = now + LOOK_AGAIN_MS;
    if matches!(result, LookResult::Silent) && doubt.misses + 1 < MISSES {
        doubt.misses += 1;
        return;
    }
    let requests = std::mem::take(&mut doubt.requests);
    if !is_over(doubt, result) {
        return;
    }
    let crash = Crash {
        endpoint: id.clone(),
        born: doubt.born,
    };
    for request in requests {
        count(state, now, request, &CrashRecord::of(crash.clone()), out);
        let note = Note::new(NoteCode::CrashCounted)
            .with("fingerprint", request)
            .with("endpoint", id)
            .with("born", crash.born.unwrap_or(0))
            .with("crashes", state.crashes.table.suspected(&request));
        out.push(Effect::Note(note));
    }
    share::tell(state, now, out);
}

/// Whether the life of an endpoint that was doubted has ended.
fn is_over(doubt: &Doubt, result: &LookResult) -> bool {
    match result {
        LookResult::Refused | LookResult::Replaced => true,
        LookResult::Alive { born, .. } => {
            let lives = doubt.born.zip(*born);
            lives.is_some_and(|(before, after)| after > before)
        }
        LookResult::Silent => false,
    }
}

/// Counts a crash against a request, at other routers as well.
fn count(
    state: &mut DirectState,
    now: Millis,
    request: Fingerprint,
    record: &CrashRecord,
    out: &mut Vec<Effect>,
) {
    let blocked = state.crashes.table.blocks(&request);
    if !state.crashes.table.merge(now, request, record) {
        return;
    }
    share::note(state, now, request);
    if !blocked && state.crashes.table.blocks(&request) {
        state.crashes.keep.queue.insert(request, now);
        block(state, request, out);
    }
}

/// A request is refused from now on: ends what waits of it or has not shown an event yet.
pub(super) fn block(state: &mut DirectState, request: Fingerprint, out: &mut Vec<Effect>) {
    let record = state.crashes.table.get(&request);
    let ids = record.into_iter().flat_map(|r| r.crashes.iter());
    let ids: Vec<_> = ids.map(|c| c.endpoint.to_string()).collect();
    let note = Note::new(NoteCode::RequestBlocked)
        .with("fingerprint", request)
        .with("endpoints", ids.join(","));
    out.push(Effect::Note(note));
    let moves = |f: &crate::logic::direct::Flight| f.run.as_ref().is_some_and(|r| r.moved);
    let flights = state.flights.iter();
    let ended = flights.filter(|(_, f)| f.fingerprint == request && !moves(f));
    for id in ended.map(|(id, _)| *id).collect::<Vec<_>>() {
        state.crashes.refused += 1;
        end::refuse_blocked(state, id, out);
    }
}

/// A request was answered whole: it has crashed nothing there.
pub(in crate::logic::direct) fn survived(
    state: &mut DirectState,
    now: Millis,
    request: Fingerprint,
    out: &mut Vec<Effect>,
) {
    state.crashes.served.record(now, request);
    if state.crashes.table.clear(&request) {
        let note = Note::new(NoteCode::CrashesCleared).with("fingerprint", request);
        out.push(Effect::Note(note));
        share::note(state, now, request);
        share::tell(state, now, out);
    }
}

/// Why a request that has just come is refused, if it is.
pub(in crate::logic::direct) fn refusal(
    state: &mut DirectState,
    request: &Fingerprint,
) -> Option<(Problem, &'static str)> {
    if state.crashes.table.blocks(request) {
        state.crashes.refused += 1;
        return Some((Problem::CrashesEndpoints, "endpoints crashed under it"));
    }
    let runs = |f: &crate::logic::direct::Flight| f.fingerprint == *request;
    let risky = state.crashes.table.suspected(request) >= RISKY;
    if risky && state.flights.values().any(runs) {
        let again = Problem::NotRun(state.knobs.again_ms);
        return Some((again, "it runs already, and endpoints crashed under it"));
    }
    None
}

/// Whether a request is handled with care: crashes that aren't certain yet count as well.
pub(in crate::logic::direct) fn is_risky(state: &DirectState, request: &Fingerprint) -> bool {
    let doubts = state.crashes.doubts.values();
    let doubted = doubts.filter(|d| d.requests.contains(request)).count();
    state.crashes.table.suspected(request) + doubted >= RISKY
}

/// Looks at endpoints where that is due, and tells other routers what is new.
pub(in crate::logic::direct) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    state.crashes.table.tend(now);
    let (doubts, endpoints) = (&mut state.crashes.doubts, &state.endpoints);
    let open = |d: &Doubt| d.looking || !d.requests.is_empty() || now < d.next_at;
    doubts.retain(|id, d| endpoints.contains_key(id) && open(d));
    let due = doubts.iter().filter(|(_, d)| !d.requests.is_empty());
    let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
    for id in due {
        look(state, now, &id, out);
    }
    share::tell(state, now, out);
    super::keep::tend(state, now, out);
}
