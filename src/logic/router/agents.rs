//! Sessions with agents: which ones a router keeps, and what it sends over them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{attempts, claim_query, planner, AgentView, RouterState, Stage};
use crate::logic::{Effect, Peer};
use crate::message::{LoadReport, Message, Report};
use crate::types::{Brief, GroupRecord, InstanceId, Millis};

/// Longest time between two updates of the set of agents to dial.
///
/// Brought forward by a changed record, a new instance list, a closed session, a new query about a
/// claim, and a change of the planner lease.
const DIAL_INTERVAL_MS: Millis = 10_000;

/// Time in which changes are collected before the set of agents to dial is updated.
const DIAL_DELAY_MS: Millis = 50;

/// Brings the next update of the set of agents to dial forward.
pub(super) fn schedule_dial(state: &mut RouterState, now: Millis) {
    state.dial_at = state.dial_at.min(now + DIAL_DELAY_MS);
}

/// Dials the agents that are needed and closes the sessions with the others.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.dial_at {
        return;
    }
    state.dial_at = now + DIAL_INTERVAL_MS;
    let wanted = wanted_agents(state);
    let unwanted: Vec<_> = state
        .agents
        .keys()
        .filter(|id| !wanted.contains_key(id))
        .cloned()
        .collect();
    for id in unwanted {
        state.agents.remove(&id);
        out.push(Effect::CloseSession(id));
    }
    for (id, addr) in wanted {
        let moved = state.agents.get(&id).is_some_and(|a| a.addr != addr);
        if moved {
            state.agents.remove(&id);
            out.push(Effect::CloseSession(id.clone()));
        }
        if !state.agents.contains_key(&id) {
            state.agents.insert(id.clone(), AgentView::new(addr, now));
            out.push(Effect::OpenSession { to: id, addr });
        }
    }
}

/// Agents that this router needs sessions with, and where they listen.
///
/// These are the leaders of all groups of the router's data hall and of up to `far_groups` groups
/// of other halls for each model, the agents of requests that were sent or are queried about, and
/// the agents that the planner needs.
fn wanted_agents(state: &RouterState) -> BTreeMap<InstanceId, SocketAddr> {
    let mut wanted = BTreeMap::new();
    let mut far: BTreeMap<Arc<str>, Vec<(u64, &GroupRecord)>> = BTreeMap::new();
    for (record, _) in state.fleet.domains.values() {
        for group in &record.groups {
            if record.hall == state.hall {
                let leader = group.leader();
                wanted.insert(leader.instance.clone(), leader.addr);
            } else {
                let rank = rendezvous_rank(&state.own_id, group);
                far.entry(group.model.clone())
                    .or_default()
                    .push((rank, group));
            }
        }
    }
    for mut groups in far.into_values() {
        groups.sort_by_key(|(rank, _)| *rank);
        for (_, group) in groups.iter().take(state.params.far_groups as usize) {
            let leader = group.leader();
            wanted.insert(leader.instance.clone(), leader.addr);
        }
    }
    for request in state.requests.values() {
        if let Stage::Querying { agent, addr, .. } = &request.stage {
            wanted.insert(agent.clone(), *addr);
        }
        if let Stage::Sent { agent, .. } = &request.stage {
            if let Some(view) = state.agents.get(agent) {
                wanted.entry(agent.clone()).or_insert(view.addr);
            }
        }
    }
    planner::add_planner_sessions(state, &mut wanted);
    wanted
}

/// Rank of a group for this router by rendezvous hashing, which spreads the groups of other halls
/// over the routers.
fn rendezvous_rank(me: &InstanceId, group: &GroupRecord) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    me.hash(&mut hasher);
    group.id.hash(&mut hasher);
    hasher.finish()
}

/// Handles a session with an agent that has opened.
///
/// The agent gets the brief, the records of the groups that it leads, the notice that its instance
/// is leaving if it is, and the pending queries.
pub(super) fn on_agent_up(
    state: &mut RouterState,
    now: Millis,
    peer: &Peer,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.agents.get_mut(&peer.id) else {
        return;
    };
    let before = view.up.replace(peer.incarnation);
    view.report = None;
    view.bundle = 0;
    if before.is_some() {
        // The new session replaces an old one; what was sent on that may be lost.
        attempts::on_agent_lost(state, now, &peer.id, out);
    }
    send_brief(state, &peer.id, out);
    let led: Vec<_> = state
        .fleet
        .groups()
        .filter(|g| g.leader().instance == peer.id)
        .cloned()
        .collect();
    for record in led {
        out.push(assign_record(record));
    }
    notify_leaving(state, &peer.id, out);
    claim_query::on_agent_up(state, now, peer, out);
}

/// Handles a session with an agent that has closed.
pub(super) fn on_agent_down(
    state: &mut RouterState,
    now: Millis,
    id: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.agents.get_mut(id) else {
        return;
    };
    view.up = None;
    view.report = None;
    view.down_since = now;
    // A planner dials the second member of a group whose leader can't be reached.
    schedule_dial(state, now);
    attempts::on_agent_lost(state, now, id, out);
}

/// Handles an agent's report: keeps it, and sends a newer brief or record where the agent needs it.
pub(super) fn on_report(
    state: &mut RouterState,
    now: Millis,
    from: &InstanceId,
    report: Report,
    out: &mut Vec<Effect>,
) {
    let Some(view) = state.agents.get_mut(from) else {
        return;
    };
    view.bundle = view.bundle.max(report.bundle);
    let open = |r: &Report| r.lead.as_ref().is_some_and(|l| l.open);
    let was_open = view.report.as_ref().is_some_and(open);
    if open(&report) && !was_open {
        view.opened_at = now;
    }
    view.report = Some(report);
    let behind = view.bundle < state.bundle_number();
    if behind {
        send_brief(state, from, out);
    }
    let Some(view) = state.agents.get(from) else {
        return;
    };
    let lead = view.report.as_ref().and_then(|r| r.lead.clone());
    let Some(lead) = lead else {
        return;
    };
    if let Some(load) = state.loads.get_mut(&lead.group) {
        load.since_report = 0;
    }
    correct_leader(state, from, &lead.group, lead.epoch, out);
}

/// Handles a leader's load report, which updates its last full report.
pub(super) fn on_load_report(state: &mut RouterState, from: &InstanceId, load: LoadReport) {
    let report = state.agents.get_mut(from).and_then(|a| a.report.as_mut());
    let Some(lead) = report.and_then(|r| r.lead.as_mut()) else {
        return;
    };
    if lead.epoch != load.epoch {
        return;
    }
    lead.running = load.running;
    lead.loads = load.loads;
    if let Some(counted) = state.loads.get_mut(&lead.group) {
        counted.since_report = 0;
    }
}

/// Sends a leader the newer record of its group, or releases it from a group that it no longer
/// leads.
fn correct_leader(
    state: &RouterState,
    leader: &InstanceId,
    group: &crate::types::GroupId,
    epoch: u64,
    out: &mut Vec<Effect>,
) {
    match state.fleet.find_group(group) {
        Some(record) if record.epoch > epoch && &record.leader().instance == leader => {
            out.push(assign_record(record.clone()));
        }
        Some(record) if record.epoch <= epoch => {}
        // The group is gone or has another leader now. A domain record older than the leader's
        // epoch doesn't show that.
        _ => {
            let known = state.fleet.domains.get(&group.domain);
            if known.is_some_and(|(d, _)| d.epoch >= epoch) {
                out.push(release_group(leader, group, epoch));
            }
        }
    }
}

fn assign_record(record: GroupRecord) -> Effect {
    Effect::Send {
        to: record.leader().instance.clone(),
        message: Message::Assign(Box::new(record)),
    }
}

fn release_group(leader: &InstanceId, group: &crate::types::GroupId, epoch: u64) -> Effect {
    Effect::Send {
        to: leader.clone(),
        message: Message::Release {
            group: group.clone(),
            epoch,
        },
    }
}

/// Sends the leaders of a domain their present records, and releases those that lead no longer.
pub(super) fn notify_leaders(state: &RouterState, domain: &Arc<str>, out: &mut Vec<Effect>) {
    let Some((record, _)) = state.fleet.domains.get(domain) else {
        return;
    };
    for group in &record.groups {
        out.push(assign_record(group.clone()));
    }
    for (id, view) in &state.agents {
        let lead = view.report.as_ref().and_then(|r| r.lead.as_ref());
        if let Some(lead) = lead.filter(|l| &l.group.domain == domain) {
            correct_leader(state, id, &lead.group, lead.epoch, out);
        }
    }
}

/// Sends the brief of the bundle in force to every agent that may not have it.
pub(super) fn broadcast_brief(state: &mut RouterState, out: &mut Vec<Effect>) {
    let ids: Vec<_> = state.agents.keys().cloned().collect();
    for id in ids {
        send_brief(state, &id, out);
    }
}

/// Sends one agent the brief of the bundle in force, if there is a session and it may not have it.
pub(super) fn send_brief(state: &mut RouterState, id: &InstanceId, out: &mut Vec<Effect>) {
    let Some(bundle) = state.bundle().cloned() else {
        return;
    };
    let Some(view) = state.agents.get_mut(id) else {
        return;
    };
    if view.up.is_none() || view.bundle >= bundle.number {
        return;
    }
    view.bundle = bundle.number;
    out.push(Effect::Send {
        to: id.clone(),
        message: Message::Brief(Brief::of(bundle.number, &bundle.body)),
    });
}

/// Notifies an agent that the platform lists its instance as leaving, unless it has reported so.
pub(super) fn notify_leaving(state: &RouterState, id: &InstanceId, out: &mut Vec<Effect>) {
    let leaving = state.instances.get(id).is_some_and(|i| !i.is_live());
    let known = state
        .agents
        .get(id)
        .and_then(|a| a.report.as_ref())
        .is_some_and(|r| r.leaving);
    if leaving && !known {
        out.push(Effect::Send {
            to: id.clone(),
            message: Message::Leave,
        });
    }
}
