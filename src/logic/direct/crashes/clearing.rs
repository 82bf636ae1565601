//! Clears requests and segments of crashes, as endpoints answered them.

use super::recently_served::RETENTION_MS;
use super::{broadcast, CrashRecord, CrashReport};
use crate::logic::direct::{DirectState, Fingerprint};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Time from an answer within which a segment of its request isn't suspected of crashes. A segment
/// that comes to crash endpoints, as with another version of the model, goes undetected for so long.
const SEGMENT_TRUST_MS: Millis = 20_000;

/// Whether a request was answered in full so recently that it isn't suspected.
pub(super) fn is_trusted(state: &DirectState, now: Millis, request: &Fingerprint) -> bool {
    state.crashes.served.contains(now, request, RETENTION_MS)
}

/// Whether an answer to a request with a segment began so recently that the segment isn't suspected.
pub(super) fn is_trusted_segment(state: &DirectState, now: Millis, segment: &Fingerprint) -> bool {
    let served = &state.crashes.served_segments;
    served.contains(now, segment, SEGMENT_TRUST_MS)
}

/// Clears a request and its segments of earlier crashes, as it was answered in full.
pub(in crate::logic::direct) fn on_answered(
    state: &mut DirectState,
    now: Millis,
    request: Fingerprint,
    segments: &[Fingerprint],
    out: &mut Vec<Effect>,
) {
    state.crashes.served.record(now, request);
    clear(state, now, request, out);
    on_answer_begun(state, now, segments, out);
}

/// Clears the segments of a request of earlier crashes, as the first event of its answer came.
pub(in crate::logic::direct) fn on_answer_begun(
    state: &mut DirectState,
    now: Millis,
    segments: &[Fingerprint],
    out: &mut Vec<Effect>,
) {
    for segment in segments {
        state.crashes.served_segments.record(now, *segment);
        clear(state, now, *segment, out);
    }
}

/// Clears the segments that another router suspects and this one has seen answered recently.
pub(super) fn clear_trusted(
    state: &mut DirectState,
    now: Millis,
    reports: &[CrashReport],
    out: &mut Vec<Effect>,
) {
    let segments = reports.iter().filter(|r| r.record.is_segment);
    for segment in segments.map(|r| r.cause) {
        if is_trusted_segment(state, now, &segment) {
            clear(state, now, segment, out);
        }
    }
}

fn clear(state: &mut DirectState, now: Millis, cause: Fingerprint, out: &mut Vec<Effect>) {
    if !state.crashes.table.clear(&cause) {
        return;
    }
    let event = LogEvent::new(LogCode::CrashesCleared).with("fingerprint", cause);
    out.push(Effect::Log(event));
    let record = state.crashes.table.get(&cause);
    if record.is_some_and(CrashRecord::was_blocked) {
        // Routers that start later read it from the key-value service.
        state.crashes.store.queue.insert(cause, now);
    }
    broadcast::schedule_broadcast(state, now, cause);
    broadcast::send_due(state, now, out);
}
