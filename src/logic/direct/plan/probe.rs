//! Probes endpoints that may be lost, and asks other routers about heads.

use std::sync::Arc;

use super::{confirmation, departures, form, readiness};
use crate::logic::direct::limits::hold_off;
use crate::logic::direct::{
    endpoints, peers, DirectEffect, DirectState, EndpointView, Mechanism, Observation, ProbeResult,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{InstanceId, Millis};

/// Consecutive probes without an answer after which an endpoint counts as lost.
const MAX_MISSES: u32 = 2;

/// Probes that may await their answers at a time; others are sent when they are next due. With all
/// endpoints of a large fleet at once, the planner's own delay makes answers late, which then
/// count as misses.
const MAX_PENDING: usize = 64;

/// Shortest time between two probes of an endpoint that answered the first.
const PROBE_INTERVAL_MS: Millis = 400;

/// Shortest time between two probes of a lost endpoint that sends heartbeats again.
const LOST_PROBE_INTERVAL_MS: Millis = 1_000;

/// The same for one that sends none: it may be cut off from the store alone.
const SILENT_PROBE_INTERVAL_MS: Millis = 5_000;

/// Most other routers that are asked about an endpoint that didn't answer, as a few routers may be cut off
/// from it together.
const MAX_ASKED_ROUTERS: usize = 4;

/// Shortest time between two rounds of probe requests to other routers about one endpoint: as long as
/// its group waits for their answers.
const ASK_INTERVAL_MS: Millis = 400;

/// Probes of one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ProbeState {
    /// Whether a probe awaits its answer.
    pub pending: bool,
    /// Consecutive probes without an answer.
    pub misses: u32,
    /// When the last probe was sent; 0 before the first.
    pub sent_at: Millis,
    /// Numbers of the probe requests to other routers that await answers.
    pub probe_requests: Vec<u64>,
    /// When other routers were last asked; 0 before that.
    pub asked_at: Millis,
    /// This router's own observation, by its last probe.
    pub own: Option<Observation>,
    /// Observations of other routers since they were last asked.
    pub others: Vec<Observation>,
}

impl ProbeState {
    /// Whether any router finds the endpoint alive.
    fn is_alive(&self) -> bool {
        self.observations().any(|s| s == Observation::Alive)
    }

    /// Whether the observations prove that the endpoint has stopped. Silence, refused connections and
    /// broken runs don't, however many routers observe them: an endpoint that is cut off from all of
    /// them looks the same.
    fn is_stopped(&self) -> bool {
        self.observations().any(|o| o == Observation::Replaced) && !self.is_alive()
    }

    /// Whether no router reaches the endpoint, and it isn't one that stops in order, which refuses
    /// connections while it finishes its work.
    fn is_unreachable(&self) -> bool {
        let is_silent = |o| o == Observation::Silent;
        let has_crashed = |o| matches!(o, Observation::RunBroke | Observation::Replaced);
        !self.is_alive()
            && (self.observations().all(is_silent) || self.observations().any(has_crashed))
    }

    fn observations(&self) -> impl Iterator<Item = Observation> + '_ {
        self.own.iter().chain(&self.others).copied()
    }
}

/// Handles a report that an endpoint is suspected of being lost, as it has sent nothing for a
/// while: the planner probes all members of its group.
pub(in crate::logic::direct) fn on_head_suspected(
    state: &mut DirectState,
    now: Millis,
    head: &InstanceId,
    out: &mut Vec<Effect>,
) {
    if !state.plan.lease.holds(now) {
        return;
    }
    let seat = state.endpoints.get(head).and_then(|v| v.entry.seat.clone());
    let Some(group) = seat.map(|s| s.group) else {
        return send_if_due(state, now, head, out);
    };
    for id in group_members(state, &group) {
        send_if_due(state, now, &id, out);
    }
}

fn group_members(state: &DirectState, group: &Arc<str>) -> Vec<InstanceId> {
    let is_member = |v: &crate::logic::direct::EndpointView| {
        v.entry.seat.as_ref().is_some_and(|s| s.group == *group)
    };
    let found = state.endpoints.iter().filter(|(_, v)| is_member(v));
    found.map(|(id, _)| id.clone()).collect()
}

/// Probes an endpoint, unless a probe is pending or the last one was sent just now.
pub(super) fn send_if_due(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let probe = state.plan.probes.entry(id.clone()).or_default();
    if probe.pending || (probe.sent_at > 0 && now < probe.sent_at + PROBE_INTERVAL_MS) {
        return;
    }
    send(state, now, id, out);
}

fn send(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let view = state.endpoints.get(id);
    let Some(addr) = view
        .filter(|v| hold_off::takes_calls(v, now))
        .map(|v| v.entry.addr)
    else {
        return;
    };
    if state.plan.probes_pending >= MAX_PENDING {
        return;
    }
    state.plan.probes_pending += 1;
    // On a connection of its own a report can't be one that comes twice.
    let confirms = confirmation::is_awaited(state, id) || state.plan.doubted.contains_key(id);
    let probe = state.plan.probes.entry(id.clone()).or_default();
    probe.pending = true;
    probe.sent_at = now;
    let fresh = probe.misses > 0 || confirms;
    out.push(Effect::Direct(DirectEffect::Probe {
        id: id.clone(),
        addr,
        fresh,
    }));
}

/// Handles the result of a probe.
pub(in crate::logic::direct) fn on_probe_result(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    result: ProbeResult,
    out: &mut Vec<Effect>,
) {
    if state.plan.pass_fence == 0 {
        return;
    }
    let since = state.plan.probes.get(id).map_or(now, |p| p.sent_at);
    endpoints::on_probe_result(state, now, id, &result, out);
    let observation = endpoints::observation(state, now, id, &result, since);
    let probe = state.plan.probes.entry(id.clone()).or_default();
    let was_pending = std::mem::take(&mut probe.pending);
    if was_pending {
        state.plan.probes_pending = state.plan.probes_pending.saturating_sub(1);
    }
    probe.own = Some(observation);
    match result {
        ProbeResult::Alive(report) => {
            *probe = ProbeState {
                sent_at: probe.sent_at,
                ..ProbeState::default()
            };
            state.plan.unanswered.remove(id);
            if state.plan.lost.remove(id).is_some() {
                out.push(Effect::Log(
                    LogEvent::new(LogCode::EndpointFound).with("endpoint", id),
                ));
            }
            // Seats are taken from the list, as the report may be older than it; but a
            // reported seat in a group that is being formed may be newer than the list.
            if let Some(seat) = &report.seat {
                form::on_seat_report(state, id, seat);
            }
            if was_pending {
                confirmation::on_report(state, now, id, &report, out);
                departures::on_report(state, now, id, &report, since, out);
            }
            clear_silence(state, now, id);
        }
        ProbeResult::Refused | ProbeResult::Replaced => {
            ask_routers(state, now, id, out);
            mark_lost(state, now, id, "refused", out);
        }
        // Data that the endpoint has sent since the probe counts as an answer.
        ProbeResult::Silent if observation == Observation::Alive => probe.misses = 0,
        ProbeResult::Silent => {
            probe.misses += 1;
            let is_lost = probe.misses >= MAX_MISSES;
            ask_routers(state, now, id, out);
            if is_lost {
                mark_lost(state, now, id, "silent", out);
            } else {
                send(state, now, id, out);
            }
        }
    }
}

/// Asks other routers about a member of a group that didn't answer, unless they were asked just now.
fn ask_routers(state: &mut DirectState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.as_ref());
    let is_member = seat.is_some_and(|s| s.rank == 0 || has_reachable_head(state, &s.group));
    let probe = state.plan.probes.get(id);
    let due = probe.is_some_and(|p| p.asked_at == 0 || now >= p.asked_at + ASK_INTERVAL_MS);
    if !is_member || !due {
        return;
    }
    let asked = peers::send_probe_requests(state, id, MAX_ASKED_ROUTERS, out);
    if let Some(probe) = state.plan.probes.get_mut(id) {
        probe.probe_requests = asked;
        probe.asked_at = now;
        probe.others.clear();
    }
}

/// Whether the head of a group isn't lost. Without it no other member matters.
fn has_reachable_head(state: &DirectState, group: &Arc<str>) -> bool {
    let is_head = |id: &InstanceId, v: &EndpointView| {
        let seat = v.entry.seat.as_ref();
        let is_first = seat.is_some_and(|s| s.group == *group && s.rank == 0);
        is_first && !state.plan.lost.contains_key(id)
    };
    state.endpoints.iter().any(|(id, v)| is_head(id, v))
}

/// Handles another router's observation of an endpoint.
pub(in crate::logic::direct) fn on_observation(
    state: &mut DirectState,
    number: u64,
    observation: Observation,
) {
    for probe in state.plan.probes.values_mut() {
        if let Some(at) = probe.probe_requests.iter().position(|n| *n == number) {
            probe.probe_requests.swap_remove(at);
            probe.others.push(observation);
        }
    }
}

/// The probes of an endpoint once enough other routers have reported; with no other routers there
/// are never enough.
fn confirmed<'a>(state: &'a DirectState, id: &InstanceId) -> Option<&'a ProbeState> {
    let needed = MAX_ASKED_ROUTERS.min(state.peers.len()).max(1);
    let probe = state.plan.probes.get(id);
    probe.filter(|p| p.others.len() >= needed)
}

/// Whether this router and the others that were asked prove that an endpoint has stopped.
pub(super) fn is_stop_confirmed(state: &DirectState, id: &InstanceId) -> bool {
    confirmed(state, id).is_some_and(ProbeState::is_stopped)
}

/// Whether neither this router nor the others that were asked reach an endpoint, which isn't stopping in
/// order.
pub(super) fn is_loss_confirmed(state: &DirectState, id: &InstanceId) -> bool {
    confirmed(state, id).is_some_and(ProbeState::is_unreachable)
}

/// What this router and others observe of an endpoint, for the log; this router's own observation
/// stands first, `-` before it has one.
pub(super) fn observed(state: &DirectState, id: &InstanceId) -> String {
    let probe = state.plan.probes.get(id);
    let own = probe.and_then(|p| p.own);
    let own = own.map_or("-".to_string(), |o| format!("{o:?}"));
    let others = probe.map_or(&[][..], |p| &p.others);
    let others = others.iter().map(|o| format!("{o:?}"));
    let all: Vec<_> = std::iter::once(own).chain(others).collect();
    all.join(",")
}

/// Whether other routers that were asked about an endpoint may still report it alive.
pub(super) fn awaits_observations(state: &DirectState, now: Millis, id: &InstanceId) -> bool {
    let probe = state.plan.probes.get(id);
    probe.is_some_and(|p| !p.probe_requests.is_empty() && now < p.asked_at + ASK_INTERVAL_MS)
}

/// Whether any router finds an endpoint alive.
pub(super) fn is_found_alive(state: &DirectState, id: &InstanceId) -> bool {
    state.plan.probes.get(id).is_some_and(ProbeState::is_alive)
}

/// Handles the reply to an order that another endpoint has the address by now. The list shows the
/// former one for some seconds, in which it would be chosen for one group after the other.
pub(super) fn on_replaced(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let service = state.endpoints.get(id).map(|v| v.entry.service.clone());
    if service.is_some_and(|s| state.is_active(Mechanism::Capacity, &s)) {
        mark_lost(state, now, id, "replaced", out);
    }
}

fn mark_lost(
    state: &mut DirectState,
    now: Millis,
    id: &InstanceId,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.endpoints.get_mut(id) else {
        return;
    };
    view.silent_since.get_or_insert(now);
    let beat_age = now.saturating_sub(view.heartbeat_at);
    if state.plan.lost.insert(id.clone(), now).is_none() {
        readiness::on_endpoint_lost(state, now);
        let event = LogEvent::new(LogCode::EndpointLost)
            .with("endpoint", id)
            .with("why", why)
            .with("beat_age", beat_age);
        out.push(Effect::Log(event));
        state.plan.next_pass = now;
    }
}

/// Clears the silence of a group's members once all of them have just answered a probe:
/// the group is slow, but works. The silence counts for their usual longest pause.
fn clear_silence(state: &mut DirectState, now: Millis, id: &InstanceId) {
    let seat = state.endpoints.get(id).and_then(|v| v.entry.seat.clone());
    let Some(group) = seat.map(|s| s.group) else {
        return;
    };
    let members = group_members(state, &group);
    let has_answered = |id: &InstanceId| {
        let probe = state.plan.probes.get(id);
        probe.is_some_and(|p| !p.pending && p.misses == 0 && now < p.sent_at + PROBE_INTERVAL_MS)
    };
    if !members.iter().all(has_answered) {
        return;
    }
    for id in &members {
        if let Some(view) = state.endpoints.get_mut(id) {
            if view.silent_since.take().is_some() {
                view.longest_pause = view.longest_pause.max(now.saturating_sub(view.active_at));
            }
        }
    }
}

/// Probes lost endpoints again, those that have sent heartbeats since more often.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let endpoints = &state.endpoints;
    state.plan.lost.retain(|id, _| endpoints.contains_key(id));
    state.plan.probes.retain(|id, _| endpoints.contains_key(id));
    let unanswered = &mut state.plan.unanswered;
    unanswered.retain(|id, _| endpoints.contains_key(id));
    let pending = state.plan.probes.values().filter(|p| p.pending);
    state.plan.probes_pending = pending.count();
    let has_heartbeat = |id: &InstanceId, since: Millis| {
        let view = endpoints.get(id);
        view.is_some_and(|v| v.listed && v.heartbeat_at > since)
    };
    let is_due = |(id, since): &(&InstanceId, &Millis)| {
        let interval = if has_heartbeat(id, **since) {
            LOST_PROBE_INTERVAL_MS
        } else {
            SILENT_PROBE_INTERVAL_MS
        };
        let sent_at = state.plan.probes.get(id).map_or(0, |p| p.sent_at);
        now >= sent_at + interval
    };
    let due = state.plan.lost.iter().filter(is_due);
    let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
    for id in due {
        send_if_due(state, now, &id, out);
    }
}
