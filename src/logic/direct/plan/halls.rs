//! Data halls that don't answer the planner, for services with the part `capacity`.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{probe, scheduled};
use crate::logic::direct::{DirectState, EndpointView};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Endpoints that must fail to answer before their hall counts as unreachable: fewer are lost
/// together when a host or a group fails.
const MIN_SILENT: usize = 4;

/// Inverse of the part of a hall's endpoints that must fail to answer.
const SILENT_DIVISOR: usize = 2;

/// Time for which an answer of an endpoint shows that its hall is reachable: two probes of it.
const ANSWER_VALID_MS: Millis = 1_000;

/// Time that a probe gets to be answered before it counts for nothing.
const PROBE_ANSWER_MS: Millis = 300;

/// Endpoints of an unreachable hall that are probed in one planning pass.
const MAX_PROBES: usize = 16;

/// Finds the halls that don't answer. Nothing is planned there until they do: an order that gets no
/// answer takes 0.6 s, and a group that is formed there takes its time limit to fail.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let mut unreachable = find_silent(state);
    for hall in &unreachable {
        probe_rest(state, now, hall, out);
    }
    unreachable.retain(|hall| !has_answered(state, now, hall));
    if unreachable == state.plan.unreachable_halls {
        return;
    }
    let log = |code, hall: &Arc<str>| Effect::Log(LogEvent::new(code).with("hall", hall));
    let known = &state.plan.unreachable_halls;
    let lost = unreachable.difference(known);
    out.extend(lost.map(|h| log(LogCode::HallUnreachable, h)));
    let found = known.difference(&unreachable);
    out.extend(found.map(|h| log(LogCode::HallReachable, h)));
    state.plan.unreachable_halls = unreachable;
}

/// Halls of whose listed endpoints many don't answer probes. Endpoints whose process has ended
/// refuse them and don't count.
fn find_silent(state: &DirectState) -> BTreeSet<Arc<str>> {
    let mut silent: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
    for id in state.plan.lost.keys() {
        let is_silent = state.plan.probes.get(id).is_some_and(|p| p.misses > 0);
        let view = state.endpoints.get(id).filter(|v| v.listed && is_silent);
        if let Some(view) = view.filter(|_| scheduled::is_active_for(state, id)) {
            *silent.entry(&view.entry.hall).or_default() += 1;
        }
    }
    silent.retain(|_, count| *count >= MIN_SILENT);
    let are_many = |(hall, count): (&Arc<str>, usize)| {
        let all = engines(state, hall).count();
        (count * SILENT_DIVISOR >= all).then(|| hall.clone())
    };
    silent.into_iter().filter_map(are_many).collect()
}

/// Listed endpoints of engines in a hall.
fn engines<'a>(
    state: &'a DirectState,
    hall: &'a Arc<str>,
) -> impl Iterator<Item = (&'a InstanceId, &'a EndpointView)> {
    let listed = state.endpoints.iter().filter(|(_, v)| v.listed);
    listed.filter(move |(_, v)| v.entry.hall == *hall && !v.entry.domain.is_empty())
}

/// Whether any endpoint of a hall has just sent something or answered a probe. A part of a hall may
/// fail while the rest works.
fn has_answered(state: &DirectState, now: Millis, hall: &Arc<str>) -> bool {
    let is_recent = |at: Millis| at > 0 && now < at + ANSWER_VALID_MS;
    engines(state, hall).any(|(id, view)| {
        let probe = state.plan.probes.get(id);
        let probe = probe.filter(|p| p.misses == 0 && is_recent(p.sent_at));
        let has_probed = probe.is_some_and(|p| !p.pending || now < p.sent_at + PROBE_ANSWER_MS);
        is_recent(view.responded_at) || has_probed
    })
}

/// Probes endpoints of an unreachable hall that aren't lost, so that their groups are replaced
/// without waiting for a request to fail.
fn probe_rest(state: &mut DirectState, now: Millis, hall: &Arc<str>, out: &mut Vec<Effect>) {
    let rest = engines(state, hall).filter(|(id, _)| !state.plan.lost.contains_key(*id));
    let rest: Vec<InstanceId> = rest.map(|(id, _)| id.clone()).take(MAX_PROBES).collect();
    for id in rest {
        probe::send_if_due(state, now, &id, out);
    }
}
