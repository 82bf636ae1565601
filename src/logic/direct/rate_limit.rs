//! Rate limits: requests a second that an endpoint takes from all routers together.
//!
//! A few routers, the holders, have equal shares of a limit; the others send nothing there.
//! Holders are chosen by a hash, so that all routers agree on them without a message. A
//! holder leaves an even gap between its requests and can't save up unused ones. Any four
//! seconds then see at most what the limit allows for them and one request of each holder.

use std::net::SocketAddr;

use sha2::{Digest as _, Sha256};

use super::{DirectEffect, DirectState, EndpointView, PeerMessage, RateShare};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis, RequestRate};

/// Holders for each request a second of a limit, in addition to the first. With more, the one
/// request of each could take the total past 1.5 times what the limit allows in four seconds.
const HOLDERS_PER_RATE: u64 = 2;

/// Longest gap between two requests of a holder, so that the end of even a very low limit
/// is noticed.
const MAX_GAP_MS: Millis = 10_000;

/// Shortest time after which a limit expires that no answer or router names any more.
const MIN_EXPIRY_MS: Millis = 10_000;

/// Gaps between requests after which it expires at the earliest.
const MIN_EXPIRY_GAPS: Millis = 3;

/// Time between two broadcasts of an unchanged limit.
const BROADCAST_INTERVAL_MS: Millis = 500;

/// Handles the rate limit in an endpoint's answer, or its absence. Only the answer to a run
/// that was sent after the limit became known shows that the limit has ended.
pub(super) fn on_answer_rate(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    run: Option<u64>,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    let sent = run.and_then(|run| {
        let flight = state.in_flight.get(state.runs.get(&run)?)?;
        flight.run.as_ref().map(|r| r.sent_at)
    });
    match rate {
        Some(rate) => on_limit_named(state, now, id, rate, out),
        None => {
            let known = state.endpoints.get(id).and_then(|v| v.rate.as_ref());
            if known
                .zip(sent)
                .is_some_and(|(known, sent)| sent > known.known_since)
            {
                clear_limit(state, id, out);
                broadcast_limit(state, id, None, out);
            }
        }
    }
}

/// Stores a limit that an endpoint has named to this router, and broadcasts it.
fn on_limit_named(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: RequestRate,
    out: &mut Vec<Effect>,
) {
    set_limit(state, now, id, rate, out);
    let view = state.endpoints.get_mut(id);
    let Some(share) = view.and_then(|v| v.rate.as_mut()) else {
        return;
    };
    if share.broadcast_at == 0 || now >= share.broadcast_at + BROADCAST_INTERVAL_MS {
        share.broadcast_at = now;
        broadcast_limit(state, id, Some(rate), out);
    }
}

/// Stores a limit that is new or has changed, or confirms the known one.
fn set_limit(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: RequestRate,
    out: &mut Vec<Effect>,
) {
    let gap = request_gap(state, id, rate);
    let jitter = state.random_below(gap.unwrap_or(0));
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    if let Some(share) = view.rate.as_mut().filter(|s| s.rate == rate) {
        share.confirmed_at = now;
        return;
    }
    let next_at = view.rate.as_ref().map_or(now + jitter, |s| s.next_at);
    view.rate = Some(RateShare {
        rate,
        known_since: now,
        confirmed_at: now,
        broadcast_at: 0,
        gap,
        next_at,
    });
    let event = LogEvent::new(LogCode::EndpointLimited)
        .with("endpoint", id)
        .with("rate", rate)
        .with("gap", gap.map_or("-".to_string(), |gap| gap.to_string()));
    out.push(Effect::Log(event));
}

/// Forgets the limit of an endpoint.
fn clear_limit(state: &mut DirectState, id: &InstanceId, out: &mut Vec<Effect>) {
    let view = state.endpoints.get_mut(id);
    if let Some(share) = view.and_then(|v| v.rate.take()) {
        let event = LogEvent::new(LogCode::EndpointUnlimited)
            .with("endpoint", id)
            .with("rate", share.rate);
        out.push(Effect::Log(event));
    }
}

/// Handles another router's message about a limit, or about the end of one.
pub(super) fn on_peer_rate(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    match rate {
        Some(rate) => set_limit(state, now, id, rate, out),
        None => clear_limit(state, id, out),
    }
}

fn broadcast_limit(
    state: &DirectState,
    id: &InstanceId,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    let addrs: Vec<SocketAddr> = state.peers.values().copied().collect();
    for to in addrs {
        let id = id.clone();
        let message = PeerMessage::Rate { id, rate };
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
    }
}

/// Time between two requests of this router to an endpoint with a limit; none if this
/// router holds no share of the limit.
fn request_gap(state: &DirectState, id: &InstanceId, rate: RequestRate) -> Option<Millis> {
    let routers = state
        .router_peak
        .highest()
        .max(state.peers.len() as u64 + 1);
    let max = 1 + HOLDERS_PER_RATE * rate.milli() / 1_000;
    let holders = max.min(routers);
    let own = holder_rank(id, &state.own_id);
    let before = state
        .peers
        .keys()
        .filter(|peer| holder_rank(id, peer) < own);
    if before.count() as u64 >= holders {
        return None;
    }
    let gap = (holders * 1_000_000).checked_div(rate.milli());
    Some(gap.map_or(MAX_GAP_MS, |gap| gap.min(MAX_GAP_MS)))
}

/// Rank of a router for an endpoint's limit; the routers with the lowest hashes hold it.
fn holder_rank(id: &InstanceId, router: &InstanceId) -> [u8; 32] {
    let mut hash = Sha256::new();
    hash.update(id.as_str());
    hash.update([0]);
    hash.update(router.as_str());
    hash.finalize().into()
}

/// Whether the rate limit of an endpoint allows a request of this router now.
pub(super) fn can_send(view: &EndpointView, now: Millis) -> bool {
    let share = view.rate.as_ref();
    share.is_none_or(|s| s.gap.is_some() && now >= s.next_at)
}

/// Whether the rate limit of an endpoint allows a request of this router by a time.
pub(super) fn can_send_by(view: &EndpointView, until: Millis) -> bool {
    let share = view.rate.as_ref();
    share.is_none_or(|s| s.gap.is_some() && s.next_at <= until)
}

/// Schedules the next request to an endpoint after one is sent.
pub(super) fn on_sent(view: &mut EndpointView, now: Millis) {
    if let Some(share) = &mut view.rate {
        share.next_at = now + share.gap.unwrap_or(MAX_GAP_MS);
    }
}

/// Divides limits among the routers known now, and forgets expired ones.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let limited = state.endpoints.iter();
    let limited = limited.filter_map(|(id, v)| Some((id.clone(), v.rate.clone()?)));
    for (id, share) in limited.collect::<Vec<_>>() {
        let gap = request_gap(state, &id, share.rate);
        let expiry = MIN_EXPIRY_MS.max(MIN_EXPIRY_GAPS * gap.unwrap_or(MAX_GAP_MS));
        if now >= share.confirmed_at + expiry {
            clear_limit(state, &id, out);
            continue;
        }
        let view = state.endpoints.get_mut(&id);
        if let Some(share) = view.and_then(|v| v.rate.as_mut()) {
            share.gap = gap;
        }
    }
}
