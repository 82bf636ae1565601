//! Cold endpoints: for some time after a start, or at any other moment, an endpoint bears few
//! requests and falls over under more.
//!
//! What it bears is divided among a few routers, like a rate limit. In any second it then gets at
//! most the published rate and one request of each holder.

use super::{holders, ColdPhase, PacedShare};
use crate::logic::direct::{DirectState, EndpointView};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis, RequestRate};

/// Part of what the bound allows beyond the rate that may be used for holders; the rest is for
/// requests that are delayed on their way.
const HOLDERS_DIVISOR: u64 = 2;

/// How long the endpoints of a hall that is taken back count as cold: they may have turned cold
/// just before, and the list tells of it a little later.
const RETURN_MS: Millis = 1_000;

/// Handles an entry or an answer that says for how much longer an endpoint is cold, which may be 0.
pub(in crate::logic::direct) fn on_cold_named(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    ms: Millis,
    out: &mut Vec<Effect>,
) {
    let known = state.endpoints.get(id).is_some_and(|v| v.cold.is_some());
    let named = state.endpoints.get_mut(id).filter(|_| ms > 0);
    if let Some(named) = named.and_then(|v| v.named_before.as_mut()) {
        named.later_cold = named.later_cold.max(now.saturating_add(ms));
    }
    begin(state, now, id, ms);
    let Some(view) = state.endpoints.get(id).filter(|v| takes_requests(v)) else {
        return;
    };
    if let (false, Some(cold)) = (known, &view.cold) {
        let gap = cold
            .share
            .gap
            .map_or("-".to_string(), |gap| gap.to_string());
        let event = LogEvent::new(LogCode::EndpointCold)
            .with("endpoint", id)
            .with("ms", ms)
            .with("gap", gap);
        out.push(Effect::Log(event));
    }
}

/// Handles the end of the evacuation of a hall.
pub(in crate::logic::direct) fn on_hall_returned(state: &mut DirectState, now: Millis, hall: &str) {
    let endpoints = state.endpoints.iter();
    let returned = endpoints.filter(|(_, v)| v.listed && *v.entry.hall == *hall);
    let returned: Vec<_> = returned.map(|(id, _)| id.clone()).collect();
    for id in returned {
        begin(state, now, &id, RETURN_MS);
    }
}

/// Makes an endpoint count as cold for some time, unless its service is known to have no rate for
/// that.
fn begin(state: &mut DirectState, now: Millis, id: &InstanceId, ms: Millis) {
    let Some(view) = state.endpoints.get(id).filter(|_| ms > 0) else {
        return;
    };
    let rate = cold_rate(state, view);
    if rate.is_none() && state.routing.is_some() {
        return;
    }
    let rate = rate.filter(|_| takes_requests(view));
    let until = now.saturating_add(ms);
    if let Some(cold) = state.endpoints.get_mut(id).and_then(|v| v.cold.as_mut()) {
        cold.until = cold.until.max(until);
        return;
    }
    let share = match rate {
        Some(rate) => holders::new_share(state, now, id, rate, max_holders(state, rate)),
        None => PacedShare::default(),
    };
    if let Some(view) = state.endpoints.get_mut(id) {
        view.cold = Some(ColdPhase { until, share });
    }
}

/// Whether routers may send requests there: a member of a group that isn't its head takes none.
fn takes_requests(view: &EndpointView) -> bool {
    view.entry.domain.is_empty() || view.is_open_head()
}

fn cold_rate(state: &DirectState, view: &EndpointView) -> Option<RequestRate> {
    let routing = state.routing.as_ref()?;
    routing.services.get(&view.entry.service)?.cold_rate
}

/// Most holders of what a cold endpoint bears.
fn max_holders(state: &DirectState, rate: RequestRate) -> u64 {
    let params = &state.params;
    let beyond = rate.milli() * params.cold_overage.saturating_sub(1_000) / 1_000;
    ((beyond + params.cold_slack) / 1_000 / HOLDERS_DIVISOR).max(1)
}

/// Whether an endpoint that may be cold takes a request of this router by a time.
pub(in crate::logic::direct) fn can_send_by(view: &EndpointView, time: Millis) -> bool {
    let cold = view.cold.as_ref();
    cold.is_none_or(|c| c.until <= time || c.share.can_send_by(time))
}

/// Divides what cold endpoints bear among the routers known now, and ends cold phases.
pub(in crate::logic::direct) fn on_tick(state: &mut DirectState, now: Millis) {
    let cold = state.endpoints.iter().filter(|(_, v)| v.cold.is_some());
    let cold: Vec<_> = cold.map(|(id, _)| id.clone()).collect();
    for id in cold {
        let Some(view) = state.endpoints.get_mut(&id) else {
            continue;
        };
        let Some(mut phase) = view.cold.take().filter(|c| now < c.until) else {
            continue;
        };
        let view = &state.endpoints[&id];
        match cold_rate(state, view) {
            Some(rate) if takes_requests(view) => {
                let max = max_holders(state, rate);
                holders::update_share(state, &id, rate, max, &mut phase.share);
            }
            None if state.routing.is_some() => continue,
            _ => {}
        }
        if let Some(view) = state.endpoints.get_mut(&id) {
            view.cold = Some(phase);
        }
    }
}
