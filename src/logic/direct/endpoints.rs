//! What this router knows about endpoints, from the endpoint list and from its own runs.

use super::admission::{concurrency_limit, StartForecast};
use super::limits::{cold, hold_off, named_before};
use super::{
    digests, leaving, plan, restart_claims, DirectState, EndpointUpdate, EndpointView, LifeSign,
    Observation, ProbeResult,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, StorePosition};

/// Time for which an endpoint that has left the list is kept.
const UNLISTED_KEPT_MS: Millis = 15_000;

/// The same for one that takes no requests of this router: it may be listed again.
const RESTRICTED_KEPT_MS: Millis = 600_000;

/// Shortest gap between two decoding passes of an engine. Output that follows sooner
/// belongs to the same pass and is no measure of the engine's pauses.
const MIN_PASS_GAP_MS: Millis = 15;

/// Time for which an endpoint that had no room gets no new requests.
const FULL_BACKOFF_MS: Millis = 60;

/// Failures in a row at which the backoff reaches its maximum.
const MAX_BACKOFF_FAILURES: u32 = 3;

/// Number of entries of an endpoint that are sent to the other routers after a wrong one or a restart: a
/// router that has read the first of them itself gets the next one.
const RETELLS: u32 = 3;

/// Applies a complete reading of the endpoint list.
pub(super) fn on_list_read(
    state: &mut DirectState,
    now: Millis,
    entries: Vec<(InstanceId, EndpointEntry)>,
    out: &mut Vec<Effect>,
) {
    state.listed = true;
    let count = entries.len();
    apply_list(state, now, state.listed_at, entries, out);
    state.list_applied = true;
    let heads = state
        .endpoints
        .values()
        .filter(|v| v.listed && v.is_open_head());
    let event = LogEvent::new(LogCode::ListRead)
        .with("revision", state.listed_at.revision)
        .with("era", state.listed_at.era)
        .with("endpoints", count)
        .with("heads", heads.count());
    out.push(Effect::Log(event));
}

/// Applies all entries of the list as of a position; endpoints that it lacks are unlisted.
pub(super) fn apply_list(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    entries: Vec<(InstanceId, EndpointEntry)>,
    out: &mut Vec<Effect>,
) {
    let listed_ids: std::collections::BTreeSet<_> =
        entries.iter().map(|(id, _)| id.clone()).collect();
    let known: Vec<_> = state.endpoints.keys().cloned().collect();
    for id in known.into_iter().filter(|id| !listed_ids.contains(id)) {
        on_entry_change(state, now, at, id, None, out);
    }
    for (id, entry) in entries {
        on_entry_change(state, now, at, id, Some(entry), out);
    }
}

/// Applies a change of one entry of the list, which is known as of a position; `None` means that the
/// entry was removed.
pub(super) fn on_entry_change(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: InstanceId,
    entry: Option<EndpointEntry>,
    out: &mut Vec<Effect>,
) {
    let Some(entry) = entry else {
        if let Some(view) = state.endpoints.get_mut(&id).filter(|v| v.listed) {
            view.listed = false;
            view.claim = None;
            view.heartbeat_at = now;
            state.list_log.unlisted.push(id.clone());
            digests::add_update(state, EndpointUpdate::Gone(id));
        }
        return;
    };
    let Some(view) = state.endpoints.get_mut(&id) else {
        return apply_entry(state, now, at, id, entry, false, out);
    };
    if is_outdated(view, &entry) {
        return on_outdated(state, now, at, id, entry, out);
    }
    if !entry.restarts(&view.entry) {
        apply_entry(state, now, at, id, entry, false, out);
    } else if !restart_claims::hold(state, now, at, &id, &entry, out) {
        apply_restart(state, now, at, id, entry, RestartProof::Entry, out);
    }
}

/// Handles an entry that claims an earlier start or fewer heartbeats than what is known. The list may
/// lag behind other routers and reports, and writes may arrive late. But a second such entry of the
/// store after the known one, with a further heartbeat, shows that the process lives: what is known is
/// then not the endpoint's own word.
fn on_outdated(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: InstanceId,
    entry: EndpointEntry,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(&id) else {
        return;
    };
    // An entry without heartbeats was made from a report, which the list may lag behind.
    if at <= view.known_at || view.entry.beats == 0 {
        return;
    }
    let sign = LifeSign::of(&entry);
    let is_alive = view.outdated.is_some_and(|s| s.continues_in(&sign));
    if is_alive && is_replaced(&view.entry, &entry) {
        replace_entry(state, now, at, id, entry, out);
    } else {
        view.outdated = Some(sign);
    }
}

/// Whether an entry of a later position of the store replaces a known one that claims a later start or
/// more heartbeats. The writes of an endpoint that leaves may arrive late.
fn is_replaced(known: &EndpointEntry, entry: &EndpointEntry) -> bool {
    let has_left = known.born == entry.born && known.leaving && !entry.leaving;
    entry.precedes(known) && !has_left
}

/// Applies an entry in place of one that isn't the endpoint's own word.
fn replace_entry(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: InstanceId,
    entry: EndpointEntry,
    out: &mut Vec<Effect>,
) {
    if let Some(view) = state.endpoints.get(&id) {
        let event = LogEvent::new(LogCode::EntryReplaced)
            .with("endpoint", &id)
            .with("born", entry.born.unwrap_or(0))
            .with("beats", entry.beats)
            .with("known_born", view.entry.born.unwrap_or(0))
            .with("known_beats", view.entry.beats);
        out.push(Effect::Log(event));
    }
    retell(state, &id);
    apply_entry(state, now, at, id, entry, false, out);
}

/// Has the next entries of an endpoint sent to the other routers, which may know a wrong one.
pub(super) fn retell(state: &mut DirectState, id: &InstanceId) {
    if let Some(view) = state.endpoints.get_mut(id) {
        view.retells = RETELLS;
    }
}

/// What shows a restart.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RestartProof {
    /// An entry, which any writer may have left.
    Entry,
    /// The endpoint itself, or that it isn't there any more.
    Probe,
}

/// Applies the entry of an endpoint that has restarted under its id.
pub(super) fn apply_restart(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: InstanceId,
    entry: EndpointEntry,
    proof: RestartProof,
    out: &mut Vec<Effect>,
) {
    on_restart(state, now, &id, &entry, proof, out);
    apply_entry(state, now, at, id, entry, true, out);
}

fn apply_entry(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: InstanceId,
    entry: EndpointEntry,
    has_restarted: bool,
    out: &mut Vec<Effect>,
) {
    let entry = plan::apply_known_seat(state, &id, entry);
    let Some(view) = state.endpoints.get_mut(&id) else {
        // The first reading is logged as a whole, not endpoint by endpoint.
        if state.list_applied {
            state.list_log.listed.push(id.clone());
        }
        digests::add_update(state, EndpointUpdate::Listed(id.clone(), entry.clone()));
        let view = EndpointView {
            seen_start: state.list_applied,
            known_at: at,
            ..EndpointView::new(entry, now)
        };
        let cold_ms = view.entry.cold_ms;
        state.endpoints.insert(id.clone(), view);
        return cold::on_cold_named(state, now, &id, cold_ms, out);
    };
    if view.claim.take().is_some() && !has_restarted {
        // Routers that read the list themselves may have taken the claim.
        view.retells = RETELLS;
    }
    let is_cold_new = has_restarted || entry.cold_ms != view.entry.cold_ms;
    let update = if view.listed && view.retells == 0 {
        EndpointUpdate::of(&id, &view.entry, &entry)
    } else {
        view.retells = view.retells.saturating_sub(1);
        Some(EndpointUpdate::Listed(id.clone(), entry.clone()))
    };
    if entry.leaving && !view.is_leaving() {
        let event = LogEvent::new(LogCode::EndpointLeaving)
            .with("endpoint", &id)
            .with("by", "the list");
        out.push(Effect::Log(event));
    }
    if entry.beats != view.entry.beats {
        view.heartbeat_at = now;
    }
    let group = |e: &EndpointEntry| e.seat.as_ref().map(|s| s.epoch);
    if group(&view.entry) != group(&entry) {
        // What was learnt about it in its former group doesn't apply to another group.
        view.limit = 0;
        view.quickest_start = 0;
        view.start = StartForecast::default();
        view.silent_since = None;
        view.active_at = now;
        view.longest_pause = 0;
        view.backoff_until = 0;
        view.failures = 0;
        view.broken_at = 0;
    }
    named_before::on_entry(view, &entry);
    view.listed = true;
    view.outdated = None;
    view.known_at = view.known_at.max(at);
    view.last_model = entry.model.clone().or_else(|| view.last_model.take());
    let cold_ms = entry.cold_ms;
    view.entry = entry;
    if let Some(update) = update {
        digests::add_update(state, update);
    }
    if is_cold_new {
        cold::on_cold_named(state, now, &id, cold_ms, out);
    }
}

/// Whether an entry is older than what is known. A store that was restored from a backup
/// shows earlier entries, also those of endpoints that have left since.
fn is_outdated(view: &EndpointView, entry: &EndpointEntry) -> bool {
    let known = &view.entry;
    let relisted = !view.listed && known.born.is_some() && known.born == entry.born;
    entry.precedes(known) || (relisted && entry.beats <= known.beats)
}

/// An endpoint has restarted under its id. It is in no group any more, and everything learnt
/// about it is discarded, except the counts of this router's runs and of the prompt tokens
/// that it has yet to read for them, and what it has named, if an entry alone shows the restart.
fn on_restart(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    entry: &EndpointEntry,
    proof: RestartProof,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let event = LogEvent::new(LogCode::EndpointRestarted)
        .with("endpoint", id)
        .with("born", entry.born.unwrap_or(0))
        .with("running", view.running);
    out.push(Effect::Log(event));
    let before = std::mem::replace(
        view,
        EndpointView {
            seen_start: state.list_applied,
            running: view.running,
            unread_tokens: view.unread_tokens,
            // Routers that follow digests need a second entry to see the restart shown.
            retells: RETELLS,
            ..EndpointView::new(entry.clone(), now)
        },
    );
    let seat = before.entry.seat.clone();
    if proof == RestartProof::Entry {
        named_before::keep(before, view, now);
    }
    digests::add_update(state, EndpointUpdate::Listed(id.clone(), entry.clone()));
    plan::on_endpoint_restarted(state, now, id, seat.as_ref(), out);
}

/// Applies a probe result that shows a later start of the endpoint than its entry does: the
/// entry is replaced before the list shows the restart.
pub(super) fn on_probe_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &ProbeResult,
    out: &mut Vec<Effect>,
) {
    let ProbeResult::Alive(report) = result else {
        return;
    };
    let Some(view) = state.endpoints.get(id).filter(|v| v.listed) else {
        return;
    };
    let entry = EndpointEntry {
        born: report.started_ms,
        beats: 0,
        leaving: false,
        cold_ms: 0,
        model: None,
        seat: report.seat.clone(),
        ..view.entry.clone()
    };
    if entry.restarts(&view.entry) && entry.check().is_ok() {
        let at = view.known_at;
        apply_restart(state, now, at, id.clone(), entry, RestartProof::Probe, out);
    }
}

/// Applies an endpoint update from the planner, as of store position `at`. `later` says that it is above
/// what this router knows of the list; it then counts as newer within the same group epoch.
/// An entry with more heartbeats or of a later epoch is newer in any case, as the planner may
/// know of a group before the list shows it.
///
/// Returns false if the update changes an entry that this router doesn't have, so that the
/// list has to be read.
pub(super) fn on_endpoint_update(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    update: EndpointUpdate,
    later: bool,
    out: &mut Vec<Effect>,
) -> bool {
    let known = state.endpoints.get(update.id()).filter(|v| v.listed);
    let older = known.map(|v| (v.entry.clone(), v.epoch()));
    let newer = |born: Option<u64>, beats: u64, seat: &Option<GroupSeat>| {
        let epoch = seat.as_ref().map_or(0, |s| s.epoch);
        let is_newer_than = |(e, known): &(EndpointEntry, u64)| {
            let later_group = epoch > *known || (later && epoch == *known);
            born > e.born || (born == e.born && (beats > e.beats || later_group))
        };
        older.as_ref().map_or(later, is_newer_than)
    };
    match update {
        EndpointUpdate::Gone(id) if later => on_entry_change(state, now, at, id, None, out),
        EndpointUpdate::Gone(_) => {}
        EndpointUpdate::Leaving { id, born } => {
            leaving::on_peer_leaving(state, now, &id, born, out)
        }
        EndpointUpdate::Listed(_, entry) if entry.check().is_err() => return false,
        EndpointUpdate::Listed(id, entry) => {
            let is_wrong = |(known, _): &(EndpointEntry, u64)| is_replaced(known, &entry);
            if later && older.as_ref().is_some_and(is_wrong) {
                replace_entry(state, now, at, id, entry, out);
            } else if newer(entry.born, entry.beats, &entry.seat) {
                on_entry_change(state, now, at, id, Some(entry), out);
            }
        }
        EndpointUpdate::Changed {
            id,
            born,
            beats,
            leaving,
            cold_ms,
            model,
            seat,
        } => {
            if !newer(born, beats, &seat) {
                return true;
            }
            // The update lacks the other fields, which are known only for the same process
            // of the endpoint.
            let Some((older, _)) = older.filter(|(e, _)| e.born == born) else {
                return false;
            };
            let entry = EndpointEntry {
                beats,
                leaving,
                cold_ms,
                model,
                seat,
                ..older
            };
            if entry.check().is_err() {
                return false;
            }
            on_entry_change(state, now, at, id, Some(entry), out);
        }
    }
    true
}

/// Removes endpoints that left the list some time ago and have no runs of this router left.
pub(super) fn on_tick(state: &mut DirectState, now: Millis) {
    state.endpoints.retain(|_, v| {
        let is_restricted = v.leaving || !hold_off::can_send_by(v, now);
        let kept_ms = if is_restricted {
            RESTRICTED_KEPT_MS
        } else {
            UNLISTED_KEPT_MS
        };
        v.listed || v.running > 0 || now < v.heartbeat_at + kept_ms
    });
}

/// The endpoint at which a request runs.
fn run_endpoint_mut(state: &mut DirectState, request: u64) -> Option<&mut EndpointView> {
    let run = state.in_flight.get(&request)?.run.as_ref()?;
    state.endpoints.get_mut(&run.endpoint)
}

fn run_endpoint_id(state: &DirectState, request: u64) -> Option<InstanceId> {
    let run = state.in_flight.get(&request)?.run.as_ref()?;
    Some(run.endpoint.clone())
}

/// Handles a part of the answer to a request's run. `has_output` is false if the part says
/// that the run failed, which is no sign of the endpoint being alive.
pub(super) fn on_output(state: &mut DirectState, now: Millis, request: u64, has_output: bool) {
    let Some(view) = run_endpoint_mut(state, request).filter(|_| has_output) else {
        return;
    };
    let pause = now.saturating_sub(view.active_at);
    if pause >= MIN_PASS_GAP_MS {
        view.longest_pause = pause.max(view.longest_pause - view.longest_pause / 16);
    }
    view.active_at = now;
    view.responded_at = now;
    view.silent_since = None;
}

/// Time after a broken run within which a refused connection suggests that the endpoint has crashed.
/// Later on it may have restarted.
const BROKEN_RUN_MS: Millis = 3_000;

/// The answer to a request's run broke off, or there was none.
pub(super) fn on_run_broken(state: &mut DirectState, now: Millis, request: u64) {
    if let Some(view) = run_endpoint_mut(state, request) {
        view.broken_at = now;
    }
}

/// This router's observation of an endpoint, from the result of a probe that was sent, or asked for
/// by another router, at `since`, and from its own runs there.
pub(super) fn observation(
    state: &DirectState,
    now: Millis,
    id: &InstanceId,
    result: &ProbeResult,
    since: Millis,
) -> Observation {
    let view = state.endpoints.get(id);
    let has_answered = view.is_some_and(|v| v.responded_at > since);
    let has_runs = view.is_some_and(|v| v.running > 0);
    let run_broke = view.is_some_and(|v| v.broken_at > 0 && now < v.broken_at + BROKEN_RUN_MS);
    // One that is leaving stops listening before it ends, and its entry may go before that.
    let is_staying = view.is_some_and(|v| v.listed && !v.is_leaving());
    match result {
        ProbeResult::Replaced => Observation::Replaced,
        ProbeResult::Alive(_) => Observation::Alive,
        _ if has_answered => Observation::Alive,
        ProbeResult::Silent => Observation::Silent,
        ProbeResult::Refused if has_runs => Observation::Alive,
        ProbeResult::Refused if run_broke && is_staying => Observation::RunBroke,
        ProbeResult::Refused => Observation::Refuses,
    }
}

/// The endpoint has begun to answer, so it has read the prompt.
pub(super) fn on_answer_begun(state: &mut DirectState, request: u64) {
    let Some(flight) = state.in_flight.get_mut(&request) else {
        return;
    };
    let prompt = u64::from(flight.prompt_tokens);
    let Some(run) = flight.run.as_mut().filter(|r| !r.begun) else {
        return;
    };
    run.begun = true;
    if let Some(view) = state.endpoints.get_mut(&run.endpoint) {
        view.unread_tokens = view.unread_tokens.saturating_sub(prompt);
    }
}

/// Releases the run of a request, however it ended.
pub(super) fn release_run(state: &mut DirectState, request: u64) {
    on_answer_begun(state, request);
    hold_off::on_run_settled(state, request);
    let Some(run) = state.in_flight.get_mut(&request).and_then(|f| f.run.take()) else {
        return;
    };
    state.runs.remove(&run.id);
    if let Some(view) = state.endpoints.get_mut(&run.endpoint) {
        view.running = view.running.saturating_sub(1);
    }
}

/// The endpoint has served a request: its failures in a row end.
pub(super) fn on_served(state: &mut DirectState, request: u64) {
    if let Some(view) = run_endpoint_mut(state, request) {
        view.failures = 0;
    }
}

/// The endpoint rejected a request because it had no room: it is backed off from for
/// `FULL_BACKOFF_MS`, and its limit is lowered unless that was done just before.
pub(super) fn on_full(state: &mut DirectState, now: Millis, request: u64) {
    if let Some(view) = run_endpoint_mut(state, request) {
        view.backoff_until = view.backoff_until.max(now + FULL_BACKOFF_MS);
    }
    if let Some(at) = run_endpoint_id(state, request) {
        concurrency_limit::on_full(state, now, &at);
    }
}

/// A run at the endpoint has failed: the router backs off from it, at first for a quarter of
/// `backoff_ms` and for longer with each failure in a row. A refused connection gets half of
/// `backoff_ms` however many failures came before, and counts as silence.
pub(super) fn on_run_failure(
    state: &mut DirectState,
    now: Millis,
    request: u64,
    refused: bool,
    out: &mut Vec<Effect>,
) {
    let base_ms = state.params.backoff_ms;
    let Some(view) = run_endpoint_mut(state, request) else {
        return;
    };
    view.failures += 1;
    let doublings = if refused {
        1
    } else {
        view.failures.min(MAX_BACKOFF_FAILURES) - 1
    };
    let backoff_ms = (base_ms / 4) << doublings;
    view.backoff_until = view.backoff_until.max(now + backoff_ms);
    if refused {
        view.silent_since.get_or_insert(now);
    }
    let failures = view.failures;
    let at = state.in_flight.get(&request).and_then(|f| f.run.as_ref());
    if let Some(run) = at {
        let event = LogEvent::new(LogCode::EndpointFailed)
            .with("endpoint", &run.endpoint)
            .with("refused", refused)
            .with("failures", failures)
            .with("left_alone", backoff_ms);
        out.push(Effect::Log(event));
    }
}
