//! Requests that wait: for room at a head, for a head to open, or for this router to
//! know where anything is.
//!
//! An answer that comes late is worth more to a caller than a refusal, which costs it one
//! of its few tries. So a request waits for a part of its time, as long as those that
//! wait with it are no more than are sent in such a time, and as long as waiting has led
//! to answers lately. Whoever can still be answered within the objective goes first.

use super::{accept, choose, end, send, DirectRequest, DirectState, Flight, LineKey, Turn};
use crate::logic::Effect;
use crate::types::Millis;

/// Part of the time that a caller has, as its inverse, for which its request may wait. A
/// caller that is told to come back then has time for another try.
const HOLD_PART: Millis = 4;

/// Part of the objective, as its inverse, for which a request waits where waiting longer
/// has led to refusals lately.
const SHORT_PART: Millis = 6;

/// Of so many requests one waits for its whole part all the same: by it shows that waiting
/// leads to answers again.
const PROBES: u64 = 8;

/// Time that a request may wait whose caller doesn't say how long it will.
const HOLD_MS: Millis = 500;

/// Requests that may wait before this router knows where anything is: at the target size
/// it gets 32 in a second.
const EARLY_MOST: usize = 256;

/// How long a request may wait whose caller waits for so long.
pub(super) fn hold(wait: Option<Millis>) -> Millis {
    wait.map_or(HOLD_MS, |wait| wait / HOLD_PART)
}

/// Counts a request that was sent to an endpoint; it waits no longer.
pub(super) fn sent(state: &mut DirectState, now: Millis, id: u64) {
    leave(state, id);
    if let Some(flight) = state.flights.get(&id) {
        let late = flight.is_late(now);
        let line = state.lines.entry(LineKey::of(flight)).or_default();
        line.sent(now, late);
    }
}

/// A request has found no endpoint: it waits where that is of use, or is given up.
pub(super) fn park(state: &mut DirectState, now: Millis, id: u64, out: &mut Vec<Effect>) {
    let Some(flight) = state.flights.get(&id).cloned() else {
        return;
    };
    let key = LineKey::of(&flight);
    let line = state.lines.entry(key.clone()).or_default();
    if now >= until(&flight, id, line.rewards(now)) {
        if flight.is_late(now) {
            line.refused(now);
        }
        return end::give_up(state, now, id, "no endpoint had room in time", out);
    }
    let hold = flight.held.saturating_sub(flight.arrived);
    let fits = (line.waiting.len() as u64) < line.most(now, hold);
    let used = line.is_used(now) || flight.headed;
    if !used && !choose::any(state, &flight) {
        return end::give_up(state, now, id, "no endpoint serves it", out);
    }
    let place = (flight.turn, flight.priority, id);
    if fits || flight.turn == Turn::Resumed {
        wait(state, &key, place);
        return;
    }
    // Where one that is late already waits, it has had its time.
    match longest_late(state, now, &key) {
        Some(old) if !flight.is_late(now) => {
            wait(state, &key, place);
            leave(state, old);
            end::give_up(state, now, old, "too many wait", out);
        }
        _ => end::give_up(state, now, id, "too many wait", out),
    }
}

/// Until when a request waits; `rewards` says whether waiting has led to answers lately.
/// What was sent in vain has lost time already, and waits for its whole part.
fn until(flight: &Flight, id: u64, rewards: bool) -> Millis {
    let whole = rewards || flight.headed || !flight.tried.is_empty() || id % PROBES == 0;
    if whole {
        flight.held
    } else {
        let short = flight.arrived + flight.route.target_ms / SHORT_PART;
        flight.held.min(short)
    }
}

fn wait(state: &mut DirectState, key: &LineKey, place: (Turn, u8, u64)) {
    if let Some(line) = state.lines.get_mut(key) {
        line.waiting.insert(place);
    }
}

/// The one that has waited longest of those that are late already.
fn longest_late(state: &DirectState, now: Millis, key: &LineKey) -> Option<u64> {
    let line = state.lines.get(key)?;
    let late = |id: &u64| state.flights.get(id).is_some_and(|f| f.is_late(now));
    line.waiting.iter().map(|(.., id)| *id).filter(late).min()
}

/// A request waits no longer.
pub(super) fn leave(state: &mut DirectState, id: u64) {
    let Some(flight) = state.flights.get(&id) else {
        return;
    };
    let place = (flight.turn, flight.priority, id);
    if let Some(line) = state.lines.get_mut(&LineKey::of(flight)) {
        line.waiting.remove(&place);
    }
}

/// Sends what waits, as far as there is room.
pub(super) fn serve(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let waits = state.lines.iter().filter(|(_, l)| !l.waiting.is_empty());
    let keys: Vec<LineKey> = waits.map(|(key, _)| key.clone()).collect();
    for key in keys {
        for id in in_order(state, now, &key) {
            let sent = send::try_now(state, now, id, out);
            // Who is sent again leaves endpoints out that others may use.
            let again = state
                .flights
                .get(&id)
                .is_some_and(|f| f.turn == Turn::Resumed);
            if !sent && !again {
                break;
            }
        }
    }
}

/// Those that wait in one line, by turn and rank; the late go last.
fn in_order(state: &DirectState, now: Millis, key: &LineKey) -> Vec<u64> {
    let Some(line) = state.lines.get(key) else {
        return Vec::new();
    };
    let late = |id: &u64| state.flights.get(id).is_some_and(|f| f.is_late(now));
    let ranked = line
        .waiting
        .iter()
        .map(|(turn, rank, id)| (*turn, late(id), *rank, *id));
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(.., id)| id).collect()
}

/// Ends the wait of those whose time for it is over, and of those that came early.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let waiting = state.lines.values().flat_map(|l| l.waiting.iter());
    let waiting: Vec<u64> = waiting.map(|(.., id)| *id).collect();
    for id in waiting {
        if is_over(state, now, id) {
            leave(state, id);
            park(state, now, id, out);
        }
    }
    state
        .lines
        .retain(|_, line| line.is_used(now) || !line.waiting.is_empty());
    let held = |(at, request): &(Millis, DirectRequest)| now < at + hold(request.wait_ms);
    let (held, over) = std::mem::take(&mut state.early).into_iter().partition(held);
    state.early = held;
    for (_, mut request) in over {
        let waited = hold(request.wait_ms);
        request.wait_ms = request.wait_ms.map(|wait| wait - waited);
        accept::unknown(state, &request, out);
    }
}

fn is_over(state: &mut DirectState, now: Millis, id: u64) -> bool {
    let Some(flight) = state.flights.get(&id) else {
        return false;
    };
    let line = state.lines.get_mut(&LineKey::of(flight));
    let rewards = line.is_none_or(|l| l.rewards(now));
    now >= until(flight, id, rewards)
}

/// A request has come before this router knows where anything is; true where it waits.
pub(super) fn early(state: &mut DirectState, now: Millis, request: &DirectRequest) -> bool {
    let waits = state.early.len() < EARLY_MOST;
    if waits {
        state.early.push((now, request.clone()));
    }
    waits
}

/// What came early is taken up, once this router knows enough.
pub(super) fn take_up(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if state.routing.is_none() || !state.listed || state.pause.since.is_some() {
        return;
    }
    for (at, request) in std::mem::take(&mut state.early) {
        accept::taken(state, now, at, request, out);
    }
}
