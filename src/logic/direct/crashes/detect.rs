//! Finds the requests, and the segments of prompts, that crash endpoints.

use super::{
    broadcast, clearing, trials, Crash, CrashRecord, SuspectedCrash, Verdict, MIN_RISKY_CRASHES,
    WHY_CRASHES,
};
use crate::logic::direct::limits::hold_off;
use crate::logic::direct::{
    finish, DirectEffect, DirectRequest, DirectState, Fingerprint, InFlightRequest, ProbeResult,
    Problem, Refusal,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Shortest time from the result of a probe to the next probe of the endpoint.
const PROBE_INTERVAL_MS: Millis = 400;

/// Number of probes without an answer after which an endpoint is no longer probed: the network
/// to it may be cut, which no request has caused.
const MAX_MISSES: u32 = 3;

/// Handles a run that broke off before its first event: its request is suspected unless the same
/// request was answered recently, and so is each segment of its prompt.
pub(in crate::logic::direct) fn on_run_broken(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) {
    let Some(flight) = state.in_flight.get(&id) else {
        return;
    };
    let Some(run) = flight.run.as_ref().filter(|r| !r.has_event) else {
        return;
    };
    // An endpoint that is leaving ends its runs by itself.
    let view = state.endpoints.get(&run.endpoint);
    let Some(view) = view.filter(|v| !v.is_leaving()) else {
        return;
    };
    let request = Some(flight.fingerprint).filter(|r| !clearing::is_trusted(state, now, r));
    let segments = flight.segments.iter().copied();
    let segments: Vec<_> = segments
        .filter(|s| !clearing::is_trusted_segment(state, now, s))
        .collect();
    if request.is_none() && segments.is_empty() {
        return;
    }
    let at = run.endpoint.clone();
    let suspected = state
        .crashes
        .suspected_crashes
        .entry(at.clone())
        .or_default();
    let has_ended = suspected.has_just_ended(now, view.entry.born);
    if !suspected.has_suspects() && !has_ended {
        suspected.born = view.entry.born;
        suspected.has_ended = false;
        suspected.misses = 0;
        suspected.tried.clear();
    }
    let age = u32::try_from(now.saturating_sub(run.sent_at)).unwrap_or(u32::MAX);
    if let Some(request) = request {
        let longest = suspected.requests.entry(request).or_default();
        *longest = age.max(*longest);
    }
    for segment in segments {
        let longest = suspected.segments.entry(segment).or_default();
        *longest = age.max(*longest);
    }
    if let Some(trial) = state.crashes.trial.as_ref().filter(|t| t.request == id) {
        suspected.tried.clone_from(&trial.causes);
    }
    if has_ended {
        count_suspects(state, now, &at, out);
    } else {
        probe(state, now, &at, out);
    }
}

/// Probes an endpoint that may have crashed, unless a probe is pending or was just answered.
fn probe(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let view = state.endpoints.get(id);
    let addr = view
        .filter(|v| hold_off::takes_calls(v, now))
        .map(|v| v.entry.addr);
    let suspected = state.crashes.suspected_crashes.get_mut(id);
    let (Some(addr), Some(suspected)) = (addr, suspected) else {
        return;
    };
    if !suspected.probe_pending && now >= suspected.next_at {
        suspected.probe_pending = true;
        let id = id.clone();
        let fresh = suspected.misses > 0;
        out.push(Effect::Direct(DirectEffect::Probe { id, addr, fresh }));
    }
}

/// Handles the result of a probe: counts a crash against all suspected requests of the
/// endpoint if its process has ended. The suspicion is dropped if the process still runs or
/// [`MAX_MISSES`] probes had no answer.
pub(in crate::logic::direct) fn on_probe_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &ProbeResult,
    out: &mut Vec<Effect>,
) {
    let Some(suspected) = state
        .crashes
        .suspected_crashes
        .get_mut(id)
        .filter(|d| d.probe_pending)
    else {
        return;
    };
    suspected.probe_pending = false;
    suspected.next_at = now + PROBE_INTERVAL_MS;
    if matches!(result, ProbeResult::Silent) && suspected.misses + 1 < MAX_MISSES {
        suspected.misses += 1;
        return;
    }
    suspected.has_ended = has_ended(suspected, result);
    if !suspected.has_ended {
        suspected.requests.clear();
        suspected.segments.clear();
        suspected.tried.clear();
        return;
    }
    count_suspects(state, now, id, out);
}

/// Counts the crash of an endpoint against all that is suspected of it.
fn count_suspects(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let Some(suspected) = state.crashes.suspected_crashes.get_mut(id) else {
        return;
    };
    let requests = std::mem::take(&mut suspected.requests);
    let segments = std::mem::take(&mut suspected.segments);
    let tried = std::mem::take(&mut suspected.tried);
    let crash = Crash {
        endpoint: id.clone(),
        born: suspected.born,
    };
    let mut blocked = Vec::new();
    let requests = requests.into_iter().map(|suspect| (suspect, false));
    let segments = segments.into_iter().map(|suspect| (suspect, true));
    for ((cause, age), is_segment) in requests.chain(segments) {
        let record = CrashRecord {
            is_segment,
            ..CrashRecord::of_run(crash.clone(), age, tried.contains(&cause))
        };
        if count_crash(state, now, cause, &record) {
            blocked.push(cause);
        }
        let event = LogEvent::new(LogCode::CrashCounted)
            .with("fingerprint", cause)
            .with("kind", if is_segment { "segment" } else { "request" })
            .with("endpoint", id)
            .with("born", crash.born.unwrap_or(0))
            .with("alone", record.alone.len())
            .with("crashes", state.crashes.table.counted_crashes(&cause));
        out.push(Effect::Log(event));
    }
    for cause in blocked {
        trials::review(state, now, cause, out);
    }
    broadcast::send_due(state, now, out);
}

/// Whether the suspected process has ended: nothing or another endpoint listens at its
/// address, or it has started again since.
fn has_ended(suspected: &SuspectedCrash, result: &ProbeResult) -> bool {
    match result {
        ProbeResult::Refused | ProbeResult::Replaced => true,
        ProbeResult::Alive(report) => {
            let starts = suspected.born.zip(report.started_ms);
            starts.is_some_and(|(before, after)| after > before)
        }
        ProbeResult::Silent => false,
    }
}

/// Counts a crash against a cause, and schedules it for sending to the other routers; returns
/// whether what follows for the cause may have changed.
fn count_crash(
    state: &mut DirectState,
    now: Millis,
    cause: Fingerprint,
    record: &CrashRecord,
) -> bool {
    let before = state.crashes.table.is_blocked(&cause);
    let alone_before = state.crashes.table.alone_crashes(&cause);
    if !state.crashes.table.merge(now, cause, record) {
        let is_trial = !record.alone.is_empty();
        if is_trial {
            state.crashes.table.count_known_trial(now, &cause);
        }
        return is_trial;
    }
    broadcast::schedule_broadcast(state, now, cause);
    let newly_blocked = !before && state.crashes.table.is_blocked(&cause);
    // Routers that start later would try a cause again that has crashed an endpoint alone.
    let has_changed = newly_blocked || state.crashes.table.alone_crashes(&cause) > alone_before;
    if has_changed {
        state.crashes.store.queue.insert(cause, now);
    }
    has_changed
}

/// Ends the in-flight requests with a cause that is blocked from now on, except those whose run has had
/// an event, and those that may have run and mustn't be repeated: for these an answer may still come.
pub(super) fn end_in_flight(
    state: &mut DirectState,
    now: Millis,
    cause: Fingerprint,
    out: &mut Vec<Effect>,
) {
    let record = state.crashes.table.get(&cause);
    let ids = record.into_iter().flat_map(|r| r.crashes.iter());
    let ids: Vec<_> = ids.map(|c| c.endpoint.to_string()).collect();
    let event = LogEvent::new(LogCode::RequestBlocked)
        .with("fingerprint", cause)
        .with("kind", state.crashes.table.kind(&cause))
        .with("trials", state.crashes.table.alone_crashes(&cause))
        .with("endpoints", ids.join(","));
    out.push(Effect::Log(event));
    let has_event = |f: &InFlightRequest| f.all_runs().any(|r| r.has_event);
    let may_end = |f: &InFlightRequest| f.has_not_run() || f.route.repeatable();
    let in_flight = state.in_flight.iter();
    let ended = in_flight.filter(|(_, f)| f.has_cause(&cause) && !has_event(f) && may_end(f));
    let ended: Vec<_> = ended.map(|(id, _)| *id).collect();
    let wait = wait_for_trial(state, now, &[cause]);
    for id in ended {
        state.crashes.refusals += 1;
        finish::end_blocked(state, now, id, wait, out);
    }
}

/// Time until requests with some blocked causes may be tried.
fn wait_for_trial(state: &DirectState, now: Millis, causes: &[Fingerprint]) -> Millis {
    let table = &state.crashes.table;
    let trial_at = causes.iter().map(|cause| table.trial_at(cause)).max();
    trial_at.map_or(0, |at| at.saturating_sub(now))
}

/// Why a request that has just arrived isn't sent, if it isn't: it or a segment of its prompt is blocked or
/// held, or is risky and another request with it is in flight. Its caller is told to come back.
pub(in crate::logic::direct) fn refusal(
    state: &mut DirectState,
    now: Millis,
    request: &DirectRequest,
    fingerprint: &Fingerprint,
    out: &mut Vec<Effect>,
) -> Option<Refusal> {
    let retry = Problem::NotRun(state.params.again_ms);
    let table = &state.crashes.table;
    let causes = || std::iter::once(fingerprint).chain(&request.segments);
    let verdicts: Vec<_> = causes().map(|c| (*c, table.verdict(now, c))).collect();
    let has = |wanted: Verdict| verdicts.iter().any(|(_, verdict)| *verdict == wanted);
    if has(Verdict::Blocked) {
        let blocked = verdicts.iter().filter(|(_, v)| *v == Verdict::Blocked);
        let blocked: Vec<_> = blocked.map(|(cause, _)| *cause).collect();
        state.crashes.refusals += 1;
        let wait = wait_for_trial(state, now, &blocked);
        let problem = finish::blocked_problem(state, wait, request.wait_ms);
        let refusal = Refusal::new(problem, WHY_CRASHES);
        return Some(by_crashes(state, now, &blocked, refusal));
    }
    let held = verdicts.iter().filter(|(_, v)| *v == Verdict::Held);
    let held: Vec<_> = held.map(|(cause, _)| *cause).collect();
    let is_risky = |cause: &&Fingerprint| table.is_risky(cause);
    let risky: Vec<_> = causes().filter(is_risky).collect();
    let is_same = |f: &InFlightRequest| risky.iter().any(|cause| f.has_cause(cause));
    let is_in_flight = !risky.is_empty() && state.in_flight.values().any(is_same);
    if has(Verdict::Unsettled) || (held.is_empty() && is_in_flight) {
        let why = match is_in_flight {
            true => "already in flight, and endpoints crashed while running it",
            false => trials::WHY_HELD,
        };
        let causes: Vec<_> = causes().copied().collect();
        return Some(by_crashes(state, now, &causes, Refusal::new(retry, why)));
    }
    if !held.is_empty() && !trials::begin(state, now, request.id, &held, out) {
        let refusal = Refusal::new(retry, trials::WHY_HELD);
        return Some(by_crashes(state, now, &held, refusal));
    }
    None
}

/// Adds to a refusal the causes that it follows from, with their crashes, how many of these were trials
/// and how long ago the last one was learnt of.
fn by_crashes(
    state: &DirectState,
    now: Millis,
    causes: &[Fingerprint],
    refusal: Refusal,
) -> Refusal {
    let table = &state.crashes.table;
    let known: Vec<_> = causes.iter().filter(|c| table.get(c).is_some()).collect();
    let join = |value: &dyn Fn(&Fingerprint) -> String| {
        let values: Vec<_> = known.iter().map(|cause| value(cause)).collect();
        values.join(",")
    };
    refusal
        .with("causes", join(&|c| c.to_string()))
        .with("crashes", join(&|c| table.counted_crashes(c).to_string()))
        .with("trials", join(&|c| table.alone_crashes(c).to_string()))
        .with("age", join(&|c| table.age(now, c).to_string()))
}

/// Whether a request or a segment of its prompt is risky, counting also the crashes that it is
/// suspected of while the endpoints are still being probed.
pub(in crate::logic::direct) fn is_risky(state: &DirectState, flight: &InFlightRequest) -> bool {
    let suspected_crashes = || state.crashes.suspected_crashes.values();
    let is_risky = |cause: &Fingerprint| {
        let unconfirmed = suspected_crashes().filter(|d| d.suspects(cause)).count();
        let table = &state.crashes.table;
        table.is_risky(cause)
            || (unconfirmed > 0 && table.counted_crashes(cause) + unconfirmed >= MIN_RISKY_CRASHES)
    };
    flight.causes().any(is_risky)
}

/// Removes what has expired, sends the probes that are due, and passes changed records on to
/// the other routers and the key-value service.
pub(in crate::logic::direct) fn on_tick(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    state.crashes.table.remove_expired(now);
    let (suspected_crashes, endpoints) = (&mut state.crashes.suspected_crashes, &state.endpoints);
    let is_open = |d: &SuspectedCrash| d.probe_pending || d.has_suspects() || now < d.next_at;
    suspected_crashes.retain(|id, d| endpoints.contains_key(id) && is_open(d));
    let due = suspected_crashes.iter().filter(|(_, d)| d.has_suspects());
    let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
    for id in due {
        probe(state, now, &id, out);
    }
    trials::on_tick(state, now, out);
    broadcast::send_due(state, now, out);
    super::crash_store::on_tick(state, now, out);
}
