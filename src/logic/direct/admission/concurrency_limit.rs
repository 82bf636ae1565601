//! Concurrency limits: how many runs a router has at one head at a time.
//!
//! Routers don't exchange how much they have sent. Each starts with its share of the head's slots,
//! which is even unless most callers come to it. It raises its limit while requests begin well within
//! their objective and lowers it when they begin late, so that together they keep a head just short of
//! queueing.
//!
//! What counts as well within is derived from the quickest recent first token: without any
//! queue it takes 120 to 170 ms of objectives of 200 to 500 ms, which no limit changes.

use super::{Precedence, RouterShare};
use crate::logic::direct::{DirectState, EndpointView, InFlightRequest, Mechanism};
use crate::types::{EngineSpec, InstanceId, Millis};

/// One run in the unit of limits, thousandths of a run.
const RUN_MILLI: u64 = 1_000;

/// Lowest limit of all, so that two requests of a router can overlap.
const MIN_LIMIT_MILLI: u64 = 2 * RUN_MILLI;

/// Lowest limit relative to the share of the slots. A fixed floor of 8 runs let 14
/// routers have 112 runs at a head with 48 slots: on an overloaded fleet 12 % of the main
/// requests then began in time, with this floor 35 %.
const MIN_LIMIT_PERCENT: u64 = 80;

/// Highest limit relative to the share of the slots, where requests of a pool are admitted
/// together. Runs beyond the slots queue at the endpoint, which knows neither objectives nor client
/// accounts; a router whose callers ask for more may still use a part of what others leave.
const MAX_LIMIT_PERCENT: u64 = 120;

/// Shortest time between two reductions of a limit.
const LOWER_INTERVAL_MS: Millis = 200;

/// What remains of a limit after a request began late.
const LATE_PERCENT: u64 = 80;

/// What remains of a limit after the endpoint was full.
const FULL_PERCENT: u64 = 70;

/// A request begins well in time if it takes no longer than the quickest first token plus
/// the time from there to the objective divided by this.
const WELL_IN_TIME_DIVISOR: u64 = 2;

/// With each request that takes longer, the quickest first token grows by itself divided by
/// this: about a hundred requests double it.
const QUICKEST_GROWTH_DIVISOR: u64 = 128;

/// Parts of a limit that are open to resumed streams, which may go past it, and to late
/// requests, which leave room for those that can still begin in time.
const RESUMED_LIMIT_PERCENT: u64 = 110;
const LATE_LIMIT_PERCENT: u64 = 60;

/// Part of the bound of unread prompt tokens that is open to late requests.
const LATE_READING_PERCENT: u64 = 33;

/// Part of the target pause between two stream events that reading prompts may take up in
/// one pass.
const READING_PERCENT: u64 = 60;

/// How many times its share of the unread prompt tokens one router may use at a head:
/// routers seldom send to the same head at once.
const SHARE_FACTOR: u64 = 2;

/// Whether a head may get one more prompt to read. The prompts read in one pass delay every
/// stream there, so too many tokens at once make all of them late.
pub(in crate::logic::direct) fn can_read(
    view: &EndpointView,
    share: RouterShare,
    flight: &InFlightRequest,
    engine: &EngineSpec,
    late: bool,
) -> bool {
    let model = view.entry.model.as_ref().and_then(|m| engine.model(m));
    let pace = model.map_or(1_000, |m| m.pace).max(1);
    let tokens_per_ms = engine.read_rate / pace;
    let max_tokens = flight.route.gap_ms * READING_PERCENT / 100 * tokens_per_ms;
    let max_tokens = share.of(max_tokens * SHARE_FACTOR);
    let max_tokens = if late {
        max_tokens * LATE_READING_PERCENT / 100
    } else {
        max_tokens
    };
    view.unread_tokens == 0 || view.unread_tokens + u64::from(flight.prompt_tokens) <= max_tokens
}

/// Whether an endpoint has room for one more run of this router.
pub(in crate::logic::direct) fn has_room(
    view: &EndpointView,
    share: RouterShare,
    flight: &InFlightRequest,
    late: bool,
) -> bool {
    let limit = current_limit(view, share);
    let limit = match flight.precedence {
        Precedence::Resumed => limit * RESUMED_LIMIT_PERCENT / 100,
        Precedence::Fresh if late => limit * LATE_LIMIT_PERCENT / 100,
        Precedence::Fresh => limit,
    };
    u64::from(view.running) * RUN_MILLI < limit
}

/// Limit in force, in thousandths of a run; the share of the slots at first.
fn current_limit(view: &EndpointView, share: RouterShare) -> u64 {
    if view.limit > 0 {
        return view.limit.max(min_limit(view, share));
    }
    slot_share(view, share).max(MIN_LIMIT_MILLI)
}

/// This router's share of the slots, in thousandths of a run.
fn slot_share(view: &EndpointView, share: RouterShare) -> u64 {
    share.of(u64::from(view.entry.slots) * RUN_MILLI)
}

/// Lowest limit of a head, in thousandths of a run.
fn min_limit(view: &EndpointView, share: RouterShare) -> u64 {
    (slot_share(view, share) * MIN_LIMIT_PERCENT / 100).max(MIN_LIMIT_MILLI)
}

/// Highest limit of a head, in thousandths of a run; `pooled` says whether requests of its pool are
/// admitted together.
fn max_limit(view: &EndpointView, share: RouterShare, pooled: bool) -> u64 {
    let slots = u64::from(view.entry.slots.max(1)) * RUN_MILLI;
    let share = slot_share(view, share) * MAX_LIMIT_PERCENT / 100;
    let max = if pooled { slots.min(share) } else { slots };
    max.max(MIN_LIMIT_MILLI)
}

/// This router's share of what an endpoint's model has.
fn share_at(state: &DirectState, id: &InstanceId) -> RouterShare {
    let view = state.endpoints.get(id);
    RouterShare::of_model(state, view.and_then(|v| v.entry.model.as_ref()))
}

/// Handles a run that began after `took` milliseconds, of which `target` were within the objective;
/// none if the objective says nothing about the run.
pub(in crate::logic::direct) fn on_run_begun(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    took: Millis,
    target: Option<Millis>,
) {
    let share = share_at(state, id);
    let service = state.endpoints.get(id).map(|v| v.entry.service.clone());
    let pooled = service.is_some_and(|s| state.is_active(Mechanism::Admission, &s));
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let limit = current_limit(view, share);
    let max = max_limit(view, share, pooled);
    let grown = view.quickest_start + view.quickest_start / QUICKEST_GROWTH_DIVISOR + 1;
    view.quickest_start = if view.quickest_start == 0 {
        took
    } else {
        took.min(grown)
    };
    let Some(target) = target else {
        return;
    };
    let well_in_time =
        view.quickest_start + target.saturating_sub(view.quickest_start) / WELL_IN_TIME_DIVISOR;
    if took > target {
        lower(view, now, limit, LATE_PERCENT, min_limit(view, share));
    } else if took <= well_in_time {
        view.limit = (limit + RUN_MILLI * RUN_MILLI / limit).min(max);
    }
}

/// Handles an endpoint's refusal of a run for lack of room.
pub(in crate::logic::direct) fn on_full(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let share = share_at(state, id);
    if let Some(view) = state.endpoints.get_mut(id) {
        let limit = current_limit(view, share);
        let min = min_limit(view, share);
        lower(view, now, limit, FULL_PERCENT, min);
    }
}

fn lower(view: &mut EndpointView, now: Millis, limit: u64, percent: u64, min: u64) {
    if now >= view.lowered_at + LOWER_INTERVAL_MS {
        view.lowered_at = now;
        view.limit = (limit * percent / 100).max(min);
    }
}
