//! Rate limits: requests a second that an endpoint takes from all routers together.
//!
//! A limit is divided among holders that leave an even gap between their requests. Any four
//! seconds then see at most what the limit allows for them and one request of each holder.

use std::net::SocketAddr;

use super::holders::{self, MAX_GAP_MS};
use super::RateShare;
use crate::logic::direct::{DirectEffect, DirectState, EndpointView, PeerMessage};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis, RequestRate};

/// Holders for each request a second of a limit, in addition to the first. With more, the one
/// request of each could take the total past 1.5 times what the limit allows in four seconds.
const HOLDERS_PER_RATE: u64 = 2;

/// Shortest time after which a limit expires that no answer or router names any more.
const MIN_EXPIRY_MS: Millis = 10_000;

/// Gaps between requests after which it expires at the earliest.
const MIN_EXPIRY_GAPS: Millis = 3;

/// Time between two broadcasts of an unchanged limit.
const BROADCAST_INTERVAL_MS: Millis = 500;

/// Handles the rate limit in an endpoint's answer, or its absence. Only the answer to a run
/// that was sent after the limit became known shows that the limit has ended.
pub(in crate::logic::direct) fn on_answer_rate(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    run: Option<u64>,
    rate: Option<RequestRate>,
    out: &mut Vec<Effect>,
) {
    let sent = run.and_then(|run| {
        let flight = state.in_flight.get(state.runs.get(&run)?)?;
        let mut runs = flight.all_runs();
        runs.find(|r| r.id == run).map(|r| r.sent_at)
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
    let mut share = holders::new_share(state, now, id, rate, max_holders(rate));
    let gap = share.gap;
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    if let Some(named) = &mut view.named_before {
        named.rate = false;
    }
    if let Some(limit) = view.rate.as_mut().filter(|s| s.rate == rate) {
        limit.confirmed_at = now;
        return;
    }
    if let Some(limit) = &view.rate {
        share.next_at = limit.share.next_at;
    }
    view.rate = Some(RateShare {
        rate,
        known_since: now,
        confirmed_at: now,
        broadcast_at: 0,
        share,
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
pub(in crate::logic::direct) fn on_peer_rate(
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

/// Most holders of a limit.
fn max_holders(rate: RequestRate) -> u64 {
    1 + rate.milli().saturating_mul(HOLDERS_PER_RATE) / 1_000
}

/// Whether the rate limit of an endpoint allows a request of this router by a time.
pub(in crate::logic::direct) fn can_send_by(view: &EndpointView, until: Millis) -> bool {
    view.rate
        .as_ref()
        .is_none_or(|s| s.share.can_send_by(until))
}

/// Divides limits among the routers known now, and forgets expired ones.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    let limited = state.endpoints.iter();
    let limited = limited.filter_map(|(id, v)| Some((id.clone(), v.rate.clone()?)));
    for (id, mut limit) in limited.collect::<Vec<_>>() {
        let max = max_holders(limit.rate);
        holders::update_share(state, &id, limit.rate, max, &mut limit.share);
        let gap = limit.share.gap.unwrap_or(MAX_GAP_MS);
        if now >= limit.confirmed_at + MIN_EXPIRY_MS.max(MIN_EXPIRY_GAPS * gap) {
            clear_limit(state, &id, out);
        } else if let Some(view) = state.endpoints.get_mut(&id) {
            view.rate = Some(limit);
        }
    }
}
