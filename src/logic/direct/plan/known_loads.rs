//! Loads that a planner leaves to its successor.
//!
//! The planner reports its loads in progress in its digests. A router that becomes the planner counts
//! those among its own, so that it doesn't exceed the number that runs at full speed, until they
//! have ended or their time has passed.

use std::sync::Arc;

use super::{scheduled, stage, StagedLoad};
use crate::logic::direct::capacity::LoadReport;
use crate::logic::direct::DirectState;
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Most loads in one digest, which is twice the usual number that runs at full speed.
const MAX_REPORTED: usize = 16;

/// A load that the last planner knew of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KnownLoad {
    /// The model.
    pub model: Arc<str>,
    /// When it was ordered.
    pub since: Millis,
}

/// The youngest loads in progress that fit into so many bytes, for a digest.
pub(in crate::logic::direct) fn reported_loads(
    state: &DirectState,
    now: Millis,
    max_bytes: usize,
) -> Vec<LoadReport> {
    let staging = state.plan.staging.iter();
    let in_progress = staging.filter(|(id, load)| {
        scheduled::is_in_progress(state, now, id, load) && scheduled::is_active_for(state, id)
    });
    let report = |(id, load): (&InstanceId, &StagedLoad)| LoadReport {
        id: id.clone(),
        model: load.model.clone(),
        age: now.saturating_sub(load.since),
    };
    let mut reports: Vec<LoadReport> = in_progress.map(report).collect();
    reports.sort_by_key(|r| r.age);
    let mut bytes = 0;
    let fits = |r: &LoadReport| {
        bytes += r.bytes();
        bytes <= max_bytes
    };
    reports
        .into_iter()
        .take(MAX_REPORTED)
        .take_while(fits)
        .collect()
}

/// Handles the loads in a digest. One without any may only have had no room.
pub(in crate::logic::direct) fn on_loads_reported(
    state: &mut DirectState,
    now: Millis,
    reports: Vec<LoadReport>,
) {
    if reports.is_empty() {
        return;
    }
    let known = |r: LoadReport| {
        let load = KnownLoad {
            model: r.model,
            since: now.saturating_sub(r.age),
        };
        (r.id, load)
    };
    let reports = reports.into_iter().take(MAX_REPORTED);
    state.plan.known_loads = reports.map(known).collect();
}

/// Has the next digest sent soon, as a load was ordered.
pub(super) fn request_report(state: &mut DirectState, id: &InstanceId) {
    if scheduled::is_active_for(state, id) {
        state.digests.has_changes = true;
    }
}

/// Keeps the loads that this router has ordered as the planner, for when it becomes the planner
/// again before another one does.
pub(super) fn keep_own(state: &mut DirectState, now: Millis) {
    let reports = reported_loads(state, now, usize::MAX);
    on_loads_reported(state, now, reports);
}

/// Counts the loads of the last planner among this router's own.
pub(super) fn adopt(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let known = std::mem::take(&mut state.plan.known_loads);
    let all = known.len() as Millis;
    let mut adopted = 0;
    for (id, load) in known {
        let engine = scheduled::engine_of(state, &id);
        let Some(engine) = engine.filter(|e| scheduled::is_active(state, e)) else {
            continue;
        };
        let Some(model) = engine.model(&load.model) else {
            continue;
        };
        // Beyond those that run at full speed, all take proportionally longer.
        let at_once = Millis::from(engine.loads_at_once.max(1));
        let takes = model.load_ms * all.max(at_once) / at_once + stage::LOAD_SLACK_MS;
        let due = load.since + takes;
        if now >= due {
            continue;
        }
        let view = state.endpoints.get(&id);
        let staging = StagedLoad {
            hold: view.is_some_and(|v| v.last_model.is_none()),
            model: load.model,
            since: load.since,
            cold: true,
            due,
        };
        state.plan.staging.insert(id, staging);
        adopted += 1;
    }
    if adopted > 0 {
        let event = LogEvent::new(LogCode::LoadsAdopted).with("loads", adopted);
        out.push(Effect::Log(event));
    }
}
