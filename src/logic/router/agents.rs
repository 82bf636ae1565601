//! Which agents a router keeps sessions with, and what it tells them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::{planner, recalling, sending, AgentView, RouterState, Stage};
use crate::logic::{Effect, Peer};
use crate::message::{LoadReport, Message, Report};
use crate::types::{Brief, GroupRecord, InstanceId, Millis};

/// Longest time between two looks at the set of agents to dial, in milliseconds.
///
/// Changes of records, of the list and of a leader's session bring it forward.
const DIAL_EVERY: Millis = 10_000;

/// Time in which changes are gathered before the set is looked at, in milliseconds.
const GATHER: Millis = 50;

/// Brings the next look at the set of agents forward.
pub(super) fn look_soon(state: &mut RouterState, now: Millis) {
    state.dial_at = state.dial_at.min(now + GATHER);
}

/// Dials the agents that are needed and hangs up on the others.
pub(super) fn tend(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.dial_at {
        return;
    }
    state.dial_at = now + DIAL_EVERY;
    let wanted = wanted(state);
    let unwanted: Vec<_> = state
        .agents
        .keys()
        .filter(|id| !wanted.contains_key(id))
        .cloned()
        .collect();
    for id in unwanted {
        state.agents.remove(&id);
        out.push(Effect::Hangup(id));
    }
    for (id, addr) in wanted {
        let moved = state.agents.get(&id).is_some_and(|a| a.addr != addr);
        if moved {
            state.agents.remove(&id);
            out.push(Effect::Hangup(id.clone()));
        }
        if !state.agents.contains_key(&id) {
            state.agents.insert(id.clone(), AgentView::new(addr, now));
            out.push(Effect::Dial { to: id, addr });
        }
    }
}

fn wanted(state: &RouterState) -> BTreeMap<InstanceId, SocketAddr> {
    let mut wanted = BTreeMap::new();
    let mut far: BTreeMap<Arc<str>, Vec<(u64, &GroupRecord)>> = BTreeMap::new();
    for (record, _) in state.fleet.domains.values() {
        for group in &record.groups {
            if record.hall == state.hall {
                let leader = group.leader();
                wanted.insert(leader.instance.clone(), leader.addr);
            } else {
                let rank = rendezvous(&state.me, group);
                far.entry(group.model.clone())
                    .or_default()
                    .push((rank, group));
            }
        }
    }
    for mut groups in far.into_values() {
        groups.sort_by_key(|(rank, _)| *rank);
        for (_, group) in groups.iter().take(state.knobs.far_groups as usize) {
            let leader = group.leader();
            wanted.insert(leader.instance.clone(), leader.addr);
        }
    }
    for request in state.requests.values() {
        if let Stage::Recalling { agent, addr, .. } = &request.stage {
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

/// Spreads the far groups of a model over the routers.
fn rendezvous(me: &InstanceId, group: &GroupRecord) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    me.hash(&mut hasher);
    group.id.hash(&mut hasher);
    hasher.finish()
}

/// A session with an agent has opened.
pub(super) fn up(state: &mut RouterState, now: Millis, peer: &Peer, out: &mut Vec<Effect>) {
    let Some(view) = state.agents.get_mut(&peer.id) else {
        return;
    };
    let before = view.up.replace(peer.incarnation);
    view.report = None;
    view.bundle = 0;
    if before.is_some() {
        // A new session in place of the old one: what was sent there may be lost.
        sending::agent_lost(state, now, &peer.id, out);
    }
    push_brief_to(state, &peer.id, out);
    let leads: Vec<_> = state
        .fleet
        .groups()
        .filter(|g| g.leader().instance == peer.id)
        .cloned()
        .collect();
    for record in leads {
        out.push(assign(record));
    }
    tell_leaving(state, &peer.id, out);
    recalling::agent_up(state, now, peer, out);
}

/// A session with an agent has closed.
pub(super) fn down(state: &mut RouterState, now: Millis, id: &InstanceId, out: &mut Vec<Effect>) {
    let Some(view) = state.agents.get_mut(id) else {
        return;
    };
    view.up = None;
    view.report = None;
    view.down_since = now;
    // A planner dials a second member where a leader can't be reached.
    look_soon(state, now);
    sending::agent_lost(state, now, id, out);
}

/// An agent has reported.
pub(super) fn reported(
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
    let behind = view.bundle < state.number();
    if behind {
        push_brief_to(state, from, out);
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
    correct(state, from, &lead.group, lead.epoch, out);
}

/// A leader has told its load.
pub(super) fn loaded(state: &mut RouterState, from: &InstanceId, load: LoadReport) {
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

/// Tells a leader when its record has moved on or is gone.
fn correct(
    state: &RouterState,
    leader: &InstanceId,
    group: &crate::types::GroupId,
    epoch: u64,
    out: &mut Vec<Effect>,
) {
    match state.fleet.group(group) {
        Some(record) if record.epoch > epoch && &record.leader().instance == leader => {
            out.push(assign(record.clone()));
        }
        Some(record) if record.epoch <= epoch => {}
        // Gone, or led by another now. A record older than the group proves nothing.
        _ => {
            let passed = state.fleet.domains.get(&group.domain);
            if passed.is_some_and(|(d, _)| d.epoch >= epoch) {
                out.push(release(leader, group, epoch));
            }
        }
    }
}

fn assign(record: GroupRecord) -> Effect {
    Effect::Send {
        to: record.leader().instance.clone(),
        message: Message::Assign(Box::new(record)),
    }
}

fn release(leader: &InstanceId, group: &crate::types::GroupId, epoch: u64) -> Effect {
    Effect::Send {
        to: leader.clone(),
        message: Message::Release {
            group: group.clone(),
            epoch,
        },
    }
}

/// Tells every leader of a domain what its record says now.
pub(super) fn tell_leaders(state: &RouterState, domain: &Arc<str>, out: &mut Vec<Effect>) {
    let Some((record, _)) = state.fleet.domains.get(domain) else {
        return;
    };
    for group in &record.groups {
        out.push(assign(group.clone()));
    }
    for (id, view) in &state.agents {
        let lead = view.report.as_ref().and_then(|r| r.lead.as_ref());
        if let Some(lead) = lead.filter(|l| &l.group.domain == domain) {
            correct(state, id, &lead.group, lead.epoch, out);
        }
    }
}

/// Gives every agent the bundle in force.
pub(super) fn push_brief(state: &mut RouterState, out: &mut Vec<Effect>) {
    let ids: Vec<_> = state.agents.keys().cloned().collect();
    for id in ids {
        push_brief_to(state, &id, out);
    }
}

/// Gives one agent the bundle in force, where it may not have it.
pub(super) fn push_brief_to(state: &mut RouterState, id: &InstanceId, out: &mut Vec<Effect>) {
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

/// Passes the platform's word on to an instance that is leaving.
pub(super) fn tell_leaving(state: &RouterState, id: &InstanceId, out: &mut Vec<Effect>) {
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
