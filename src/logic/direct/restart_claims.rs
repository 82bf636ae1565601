//! Restarts that the list shows: the planner asks the endpoint before it takes its group for ended.
//!
//! The members of an ended group join others. Any writer may leave an entry with a later start in the
//! list, so that the entry alone proves nothing.

use super::endpoints::{self, RestartProof};
use super::limits::hold_off;
use super::{plan, DirectEffect, DirectState, EndpointReport, ProbeResult, RestartClaim};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{EndpointEntry, GroupSeat, InstanceId, Millis, StorePosition};

/// Time between two questions to an endpoint that doesn't answer.
const ASK_INTERVAL_MS: Millis = 200;

/// Holds an entry that shows a restart, if this router is the planner and the endpoint is in a group,
/// also if the list doesn't show that yet; returns whether it does.
pub(super) fn hold(
    state: &mut DirectState,
    now: Millis,
    at: StorePosition,
    id: &InstanceId,
    entry: &EndpointEntry,
    out: &mut Vec<Effect>,
) -> bool {
    let is_planner = state.plan.pass_fence > 0;
    let is_member = plan::is_member(state, id);
    let view = state.endpoints.get_mut(id);
    let Some(view) = view.filter(|v| is_planner && (v.entry.seat.is_some() || is_member)) else {
        return false;
    };
    let before = view.claim.take();
    view.claim = Some(RestartClaim {
        entry: entry.clone(),
        at,
        asked_at: before.as_ref().map_or(0, |claim| claim.asked_at),
    });
    plan::await_report(state, id);
    if before.is_none() {
        ask(state, now, id, out);
    }
    true
}

fn ask(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let view = state.endpoints.get_mut(id);
    let Some(view) = view.filter(|v| hold_off::takes_calls(v, now)) else {
        return;
    };
    if let Some(claim) = &mut view.claim {
        claim.asked_at = now;
        out.push(Effect::Direct(DirectEffect::Probe {
            id: id.clone(),
            addr: view.entry.addr,
            fresh: true,
        }));
    }
}

/// Asks endpoints again that haven't answered.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let due = state.endpoints.iter().filter(|(_, view)| {
        let claim = view.claim.as_ref();
        claim.is_some_and(|c| now >= c.asked_at + ASK_INTERVAL_MS)
    });
    for id in due.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
        if state.plan.pass_fence > 0 {
            ask(state, now, &id, out);
        } else {
            // Only a planner ends groups by this.
            confirm(state, now, &id, RestartProof::Entry, out);
        }
    }
}

/// Handles the result of a probe of an endpoint with a claim.
pub(super) fn on_probe_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: &ProbeResult,
    out: &mut Vec<Effect>,
) {
    let view = state.endpoints.get(id);
    let Some(claim) = view.and_then(|v| v.claim.as_ref()) else {
        return;
    };
    match result {
        // An endpoint that is paused or cut off hasn't restarted for that.
        ProbeResult::Silent => {}
        ProbeResult::Alive(report) if denies(state, id, report, claim) => {
            deny(state, id, out);
        }
        // One that is leaving refuses connections while it finishes its work.
        ProbeResult::Refused => confirm(state, now, id, RestartProof::Entry, out),
        _ => confirm(state, now, id, RestartProof::Probe, out),
    }
}

/// Whether an endpoint's own report shows that it hasn't restarted as an entry claims.
fn denies(
    state: &DirectState,
    id: &InstanceId,
    report: &EndpointReport,
    claim: &RestartClaim,
) -> bool {
    let place = |seat: &Option<GroupSeat>| seat.as_ref().map(|s| (s.group.clone(), s.epoch));
    let known = state.endpoints.get(id).map(|v| place(&v.entry.seat));
    match report.started_ms {
        Some(started) => Some(started) < claim.entry.born,
        None => {
            let seat = report.seat.as_ref();
            let is_joining = seat.is_some_and(|s| plan::is_forming(state, &s.group));
            report.readable && (known == Some(place(&report.seat)) || is_joining)
        }
    }
}

fn deny(state: &mut DirectState, id: &InstanceId, out: &mut Vec<Effect>) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    let Some(claim) = view.claim.take() else {
        return;
    };
    let event = LogEvent::new(LogCode::RestartDenied)
        .with("endpoint", id)
        .with("born", view.entry.born.unwrap_or(0))
        .with("claimed", claim.entry.born.unwrap_or(0));
    out.push(Effect::Log(event));
    // Routers that read the list themselves may have taken that entry.
    endpoints::retell(state, id);
}

fn confirm(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    proof: RestartProof,
    out: &mut Vec<Effect>,
) {
    let view = state.endpoints.get_mut(id);
    if let Some(claim) = view.and_then(|v| v.claim.take()) {
        endpoints::apply_restart(state, now, claim.at, id.clone(), claim.entry, proof, out);
    }
}
