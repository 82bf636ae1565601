//! Limits of requests a second that endpoints name for all routers together.
//!
//! A few routers hold equal shares of a limit, chosen by a hash, so that all agree on them
//! without a message; the others send nothing there. One that holds a share leaves an even
//! gap between its requests and saves none up. Any four seconds then see at most what the
//! limit allows for them and one request of each holder.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

use super::{DirectEffect, DirectState, EndpointView, PeerMessage, RateShare};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{InstanceId, Millis, RequestRate};

/// Holders of a limit for each request a second of it, beside the first. With more, one
/// request of each would take a limit past a half over what it allows for four seconds.
const HOLDERS_BY_RATE: u64 = 2;

/// Longest gap between two requests, so that the end of a limit is noticed however low it
/// is.
const LONGEST_GAP: Millis = 10_000;

/// Shortest time for which a limit holds that nobody hears of any more.
const HELD_MS: Millis = 10_000;

/// Gaps for which it holds at least.
const HELD_GAPS: Millis = 3;

/// Time between two tellings of a limit that stays as it is.
const TELL_MS: Millis = 500;

/// An answer of an endpoint has named a limit, or none. Only the answer to a run that was
/// sent since the limit is known shows that it is over.
pub(super) fn named(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    run: Option<u64>,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    let sent = run.and_then(|run| {
        let flight = state.flights.get(state.runs.get(&run)?)?;
        flight.run.as_ref().map(|r| r.since)
    });
    match rate {
        Some(rate) => limited(state, now, id, rate, out),
        None => {
            let known = state.endpoints.get(id).and_then(|v| v.rate.as_ref());
            if known
                .zip(sent)
                .is_some_and(|(known, sent)| sent > known.since)
            {
                over(state, id, out);
                tell(state, id, None, out);
            }
        }
    }
}

/// An endpoint has named a limit to this router.
fn limited(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: RequestRate,
    out: &mut Vec<Effect>,
) {
    learn(state, now, id, rate, out);
    let view = state.endpoints.get_mut(id);
    let Some(share) = view.and_then(|v| v.rate.as_mut()) else {
        return;
    };
    if share.told == 0 || now >= share.told + TELL_MS {
        share.told = now;
        tell(state, id, Some(rate), out);
    }
}

/// Takes in a limit, as it is new, has changed, or stands on.
fn learn(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: RequestRate,
    out: &mut Vec<Effect>,
) {
    let gap = gap(state, id, rate);
    let draw = state.random(gap.unwrap_or(0));
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    if let Some(share) = view.rate.as_mut().filter(|s| s.rate == rate) {
        share.heard = now;
        return;
    }
    let next_at = view.rate.as_ref().map_or(now + draw, |s| s.next_at);
    view.rate = Some(RateShare {
        rate,
        since: now,
        heard: now,
        told: 0,
        gap,
        next_at,
    });
    let note = Note::new(NoteCode::EndpointLimited)
        .with("endpoint", id)
        .with("rate", rate)
        .with("gap", gap.map_or("-".to_string(), |gap| gap.to_string()));
    out.push(Effect::Note(note));
}

/// A limit is over.
fn over(state: &mut DirectState, id: &InstanceId, out: &mut Vec<Effect>) {
    let view = state.endpoints.get_mut(id);
    if let Some(share) = view.and_then(|v| v.rate.take()) {
        let note = Note::new(NoteCode::EndpointUnlimited)
            .with("endpoint", id)
            .with("rate", share.rate);
        out.push(Effect::Note(note));
    }
}

/// Another router tells of a limit, or of the end of one.
pub(super) fn told(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    match rate {
        Some(rate) => learn(state, now, id, rate, out),
        None => over(state, id, out),
    }
}

fn tell(state: &DirectState, id: &InstanceId, rate: Option<RequestRate>, out: &mut Vec<Effect>) {
    let addrs: Vec<SocketAddr> = state.peers.values().copied().collect();
    for to in addrs {
        let id = id.clone();
        let message = PeerMessage::Rate { id, rate };
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}

/// Time between two requests of this router at an endpoint with a limit; none where it
/// holds no share of it.
fn gap(state: &DirectState, id: &InstanceId, rate: RequestRate) -> Option<Millis> {
    let routers = state.routers.highest().max(state.peers.len() as u64 + 1);
    let most = 1 + HOLDERS_BY_RATE * rate.milli() / 1_000;
    let holders = most.min(routers);
    let own = rank(id, &state.me);
    let before = state.peers.keys().filter(|peer| rank(id, peer) < own);
    if before.count() as u64 >= holders {
        return None;
    }
    let gap = (holders * 1_000_000).checked_div(rate.milli());
    Some(gap.map_or(LONGEST_GAP, |gap| gap.min(LONGEST_GAP)))
}

/// Place of a router among the holders of an endpoint's limit; the lowest come first.
fn rank(id: &InstanceId, router: &InstanceId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id.as_str());
    hash.update([0]);
    hash.update(router.as_str());
    hash.finalize().into()
}

/// Whether an endpoint may get a request of this router now, as far as its limit goes.
pub(super) fn allows(view: &EndpointView, now: Millis) -> bool {
    let share = view.rate.as_ref();
    share.is_none_or(|s| s.gap.is_some() && now >= s.next_at)
}

/// Whether an endpoint may get a request of this router until a time.
pub(super) fn allows_until(view: &EndpointView, until: Millis) -> bool {
    let share = view.rate.as_ref();
    share.is_none_or(|s| s.gap.is_some() && s.next_at <= until)
}

/// A request is sent to an endpoint.
pub(super) fn sent(view: &mut EndpointView, now: Millis) {
    if let Some(share) = &mut view.rate {
        share.next_at = now + share.gap.unwrap_or(LONGEST_GAP);
    }
}

/// Divides limits anew among the routers that are known, and forgets those that nobody
/// has heard of for long.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let limited = state.endpoints.iter();
    let limited = limited.filter_map(|(id, v)| Some((id.clone(), v.rate.clone()?)));
    for (id, share) in limited.collect::<Vec<_>>() {
        let gap = gap(state, &id, share.rate);
        let held = HELD_MS.max(HELD_GAPS * gap.unwrap_or(LONGEST_GAP));
        if now >= share.heard + held {
            over(state, &id, out);
            continue;
        }
        let view = state.endpoints.get_mut(&id);
        if let Some(share) = view.and_then(|v| v.rate.as_mut()) {
            share.gap = gap;
        }
    }
}
