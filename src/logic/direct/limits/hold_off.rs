//! Hold-offs: an endpoint that turns a request away may ask this router to send it nothing for a
//! time.
//!
//! A hold-off is asked for by the endpoint's process: it outlives the endpoint's seat and its entry
//! in the list, and ends with its time or with the process. It binds the router that was asked; the
//! others learn of theirs by their own answers. After its end the endpoint gets one run, and twice
//! as many with each that begins, so that what was held back doesn't arrive all at once.
//!
//! Probes and orders go on, as they take no slot of the endpoint and groups are repaired by them,
//! unless the endpoint turns these away as well.

use super::HoldOffPhase;
use crate::logic::direct::admission::queue;
use crate::logic::direct::{DirectState, EndpointView};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Part of a hold-off by which its end is delayed at most, so that routers which were asked at the
/// same time don't come back together.
const SPREAD_DIVISOR: Millis = 8;

/// Longest such delay.
const MAX_SPREAD_MS: Millis = 500;

/// Handles an answer by which an endpoint asks for a hold-off. `run` is the run that it turned away;
/// none if it was a probe or an order.
pub(in crate::logic::direct) fn on_hold_off(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    run: Option<u64>,
    ms: Millis,
    out: &mut Vec<Effect>,
) {
    let spread = state.random_below((ms / SPREAD_DIVISOR).min(MAX_SPREAD_MS) + 1);
    let Some(view) = state.endpoints.get_mut(id).filter(|_| ms > 0) else {
        return;
    };
    let is_new = view.hold_off.as_ref().is_none_or(|h| h.ended);
    let until = now.saturating_add(ms);
    let named = HoldOffPhase {
        until: until.saturating_add(spread),
        calls_until: if run.is_none() { until } else { 0 },
        ended: false,
        max_unbegun: 1,
        unbegun: 0,
    };
    if let Some(former) = &mut view.named_before {
        former.later_hold = Some(join(former.later_hold.take(), &named));
    }
    view.hold_off = Some(join(view.hold_off.take(), &named));
    if is_new {
        let event = LogEvent::new(LogCode::EndpointHoldsOff)
            .with("endpoint", id)
            .with("ms", ms)
            .with("running", view.running);
        out.push(Effect::Log(event));
    }
    queue::refuse_unservable(state, now, out);
}

/// A hold-off that is named while another one is known: neither ends earlier for that.
fn join(known: Option<HoldOffPhase>, named: &HoldOffPhase) -> HoldOffPhase {
    let known = known.unwrap_or_default();
    HoldOffPhase {
        until: known.until.max(named.until),
        calls_until: known.calls_until.max(named.calls_until),
        ..named.clone()
    }
}

/// Whether an endpoint takes requests of this router by a time, as far as its hold-off goes.
pub(in crate::logic::direct) fn can_send_by(view: &EndpointView, time: Millis) -> bool {
    let hold_off = view.hold_off.as_ref();
    hold_off.is_none_or(|h| h.is_over_by(time))
}

/// Whether an endpoint takes one more run of this router now, as far as its hold-off goes.
pub(in crate::logic::direct) fn has_room(view: &EndpointView, now: Millis) -> bool {
    let hold_off = view.hold_off.as_ref();
    hold_off.is_none_or(|h| h.has_room(now))
}

/// Whether an endpoint takes probes and orders of this router now.
pub(in crate::logic::direct) fn takes_calls(view: &EndpointView, now: Millis) -> bool {
    let hold_off = view.hold_off.as_ref();
    hold_off.is_none_or(|h| h.calls_until <= now)
}

/// Handles a run that is sent; returns whether it counts as one of the first after a hold-off.
pub(in crate::logic::direct) fn on_sent(view: &mut EndpointView) -> bool {
    let hold_off = view.hold_off.as_mut();
    hold_off.map(|h| h.unbegun += 1).is_some()
}

/// Handles the beginning of the answer to a request's run: the endpoint takes more runs at a time.
/// Once these are as many as its slots, the hold-off bounds nothing any more.
pub(in crate::logic::direct) fn on_run_begun(state: &mut DirectState, request: u64) {
    let Some(view) = on_run_settled(state, request) else {
        return;
    };
    let slots = view.entry.slots;
    if let Some(hold_off) = view.hold_off.as_mut().filter(|h| h.ended) {
        hold_off.max_unbegun = hold_off.max_unbegun.saturating_mul(2);
        if hold_off.max_unbegun >= slots {
            view.hold_off = None;
        }
    }
}

/// Handles a request's run that has begun or ended: it no longer counts among the first after a
/// hold-off. Returns its endpoint if it did.
pub(in crate::logic::direct) fn on_run_settled(
    state: &mut DirectState,
    request: u64,
) -> Option<&mut EndpointView> {
    let run = state.in_flight.get_mut(&request)?.run.as_mut()?;
    if !std::mem::take(&mut run.after_hold_off) {
        return None;
    }
    let view = state.endpoints.get_mut(&run.endpoint)?;
    if let Some(hold_off) = &mut view.hold_off {
        hold_off.unbegun = hold_off.unbegun.saturating_sub(1);
    }
    Some(view)
}

/// The earliest end of a hold-off among the endpoints that can serve a request, if all of them hold
/// off.
pub(in crate::logic::direct) fn earliest_end<'a>(
    endpoints: impl Iterator<Item = &'a EndpointView>,
    now: Millis,
) -> Option<Millis> {
    let end = |v: &EndpointView| v.hold_off.as_ref().map_or(0, |h| h.until);
    endpoints.map(end).min().filter(|end| *end > now)
}

/// Logs the end of hold-offs.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    for (id, view) in &mut state.endpoints {
        let hold_off = view.hold_off.as_mut();
        if let Some(hold_off) = hold_off.filter(|h| !h.ended && h.is_over_by(now)) {
            hold_off.ended = true;
            let event = LogEvent::new(LogCode::HoldOffEnded).with("endpoint", id);
            out.push(Effect::Log(event));
        }
    }
}
