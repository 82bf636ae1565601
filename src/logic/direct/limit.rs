//! How much a router sends to one head: as much as begins in time.
//!
//! Routers don't tell each other what they have sent. Each begins with its even part of
//! the slots, raises its limit while requests begin well within their objective and lowers
//! it when they begin late, so that together they keep a head just short of queueing.
//!
//! What is well within is learnt: a first token takes some time without any queue (120 to
//! 170 ms of objectives of 200 to 500 ms at the engines seen), which no limit changes.

use super::{DirectState, EndpointView, Flight, Turn};
use crate::types::{EngineSpec, InstanceId, Millis};

/// One run, in the unit of limits.
const ONE: u64 = 1_000;

/// Lowest limit of all, so that two requests of a router overlap.
const LEAST: u64 = 2 * ONE;

/// Lowest limit against the even part of the slots, in hundredths. A fixed floor of 8 runs
/// let 14 routers have 112 at a head of 48: on a fleet that was asked for more than it
/// could serve, 12 % of its main requests began in time, with this one 35 % (one day of
/// 34 s). At 40 the same days were within luck.
const LEAST_PART: u64 = 80;

/// Shortest time between two lowerings.
const LOWER_MS: Millis = 200;

/// What remains of a limit when requests begin late, in hundredths.
const LATE: u64 = 80;

/// What remains of a limit when the endpoint was full, in hundredths.
const FULL: u64 = 70;

/// Part of the time between the quickest first token and the objective, as its inverse,
/// within which a request begins well.
const WELL: u64 = 2;

/// Part of itself, as its inverse, by which the quickest first token is taken to have
/// grown with each request that took longer: a hundred requests double it.
const FORGETS: u64 = 128;

/// How far streams that have begun may go, in hundredths of a limit, and requests that
/// have waited until they are late: what is still in time needs room when it comes.
const RESUMED: u64 = 110;
const LATE_ROOM: u64 = 60;

/// Part of the reading bound, in hundredths, up to which late requests are read.
const LATE_READING: u64 = 33;

/// Part of the wanted pause that reading may take within one pass, in hundredths.
const READING: u64 = 60;

/// Times its even part that one router may have read at a head: routers seldom
/// send to the same one at once.
const UNEVEN: u64 = 2;

/// Whether a head may get one more prompt to read: what is read in a pass holds up
/// every stream there, so that too much at once makes all of them late.
pub(super) fn reads(
    view: &EndpointView,
    routers: u64,
    flight: &Flight,
    engine: &EngineSpec,
    now: Millis,
) -> bool {
    let model = view.entry.model.as_ref().and_then(|m| engine.model(m));
    let pace = model.map_or(1_000, |m| m.pace).max(1);
    let in_a_ms = engine.read_rate / pace;
    let most = flight.route.gap_ms * READING / 100 * in_a_ms * UNEVEN / routers.max(1);
    let most = if flight.is_late(now) {
        most * LATE_READING / 100
    } else {
        most
    };
    view.unread == 0 || view.unread + u64::from(flight.prompt) <= most
}

/// Whether an endpoint has room for one more run.
pub(super) fn room(view: &EndpointView, routers: u64, flight: &Flight, now: Millis) -> bool {
    let limit = current(view, routers);
    let limit = match flight.turn {
        Turn::Resumed => limit * RESUMED / 100,
        Turn::Fresh if flight.is_late(now) => limit * LATE_ROOM / 100,
        Turn::Fresh => limit,
    };
    u64::from(view.running) * ONE < limit
}

/// The limit in force: at first each router's even part of the slots.
fn current(view: &EndpointView, routers: u64) -> u64 {
    if view.limit > 0 {
        return view.limit;
    }
    even_part(view, routers).max(LEAST)
}

/// Each router's even part of the slots.
fn even_part(view: &EndpointView, routers: u64) -> u64 {
    u64::from(view.entry.slots) * ONE / routers.max(1)
}

/// The lowest limit of a head.
fn least(view: &EndpointView, routers: u64) -> u64 {
    (even_part(view, routers) * LEAST_PART / 100).max(LEAST)
}

/// A request began after a while.
pub(super) fn began(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    took: Millis,
    target: Millis,
) {
    let routers = state.peers.len() as u64 + 1;
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let limit = current(view, routers);
    let most = u64::from(view.entry.slots.max(1)) * ONE;
    let grown = view.quick + view.quick / FORGETS + 1;
    view.quick = if view.quick == 0 {
        took
    } else {
        took.min(grown)
    };
    let well = view.quick + target.saturating_sub(view.quick) / WELL;
    if took > target {
        lower(view, now, limit, LATE, least(view, routers));
    } else if took <= well {
        view.limit = (limit + ONE * ONE / limit).min(most.max(LEAST));
    }
}

/// The endpoint was full.
pub(super) fn full(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let routers = state.peers.len() as u64 + 1;
    if let Some(view) = state.endpoints.get_mut(id) {
        let limit = current(view, routers);
        let least = least(view, routers);
        lower(view, now, limit, FULL, least);
    }
}

fn lower(view: &mut EndpointView, now: Millis, limit: u64, part: u64, least: u64) {
    if now >= view.lowered + LOWER_MS {
        view.lowered = now;
        view.limit = (limit * part / 100).max(least);
    }
}
