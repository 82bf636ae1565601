//! The planner's duty: its lease, what it knows, what it writes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::survey::{by_domain, count_hall, domains, input, leaving};
use super::{plan, Plan, WorldView};
use crate::logic::router::{
    agents, fleet, Check, Keys, Purpose, Put, RouterState, StoreCall, StoreReply, StoreResult,
};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{DomainRecord, InstanceId, Millis};

/// Most thousandths of a write that are saved up.
const TOKEN_LIMIT: u64 = 10_000;

/// Looks after the lease and plans where the duty is held.
pub(in crate::logic::router) fn tend(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    note_duty(state, now, out);
    tend_lease(state, now, out);
    if now < state.planner.plan_at {
        return;
    }
    state.planner.plan_at = now + state.knobs.plan_ms;
    watch_silence(state, now);
    if state.planner.holds(now) && state.fleet.read && state.list_known {
        plan_hall(state, now, out);
    }
}

fn note_duty(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let held = state.planner.holds(now);
    if held == state.planner.was_held {
        return;
    }
    state.planner.was_held = held;
    agents::schedule_dial(state, now);
    let code = if held {
        NoteCode::PlannerHeld
    } else {
        NoteCode::PlannerLost
    };
    out.push(Effect::Note(Note::new(code).with("hall", &state.hall)));
}

fn tend_lease(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.planner.lease_at {
        return;
    }
    state.planner.lease_at = now + state.knobs.planner_ms / 3;
    let busy = state.calling(|p| {
        matches!(
            p,
            Purpose::ReadPlanner
                | Purpose::PlannerLease(_)
                | Purpose::TakePlanner { .. }
                | Purpose::RenewPlanner(_)
        )
    });
    if busy {
        return;
    }
    if let (true, Some(lease)) = (state.planner.holds(now), state.planner.lease) {
        state.call(Purpose::RenewPlanner(now), StoreCall::Renew { lease }, out);
        return;
    }
    state.planner.lease = None;
    if state.stopping {
        return;
    }
    let op = StoreCall::Read {
        key: Keys::planner(&state.hall),
        prefix: false,
    };
    state.call(Purpose::ReadPlanner, op, out);
}

/// A call of the planner's has been answered.
pub(in crate::logic::router) fn answered(
    state: &mut RouterState,
    now: Millis,
    purpose: Purpose,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    match (purpose, result) {
        (Purpose::ReadPlanner, Ok(StoreReply::Entries { entries, .. })) if entries.is_empty() => {
            let ttl_s = (state.knobs.planner_ms / 1_000).max(1);
            state.call(Purpose::PlannerLease(now), StoreCall::Grant { ttl_s }, out);
        }
        (Purpose::PlannerLease(asked_at), Ok(StoreReply::Lease { lease, .. })) => {
            take(state, lease, asked_at, out);
        }
        (Purpose::TakePlanner { lease, asked_at }, Ok(StoreReply::Swapped { done: true, .. })) => {
            state.planner.lease = Some(lease);
            state.planner.held_until = asked_at + state.knobs.planner_ms;
            state.planner.plan_at = now;
        }
        (Purpose::RenewPlanner(asked_at), Ok(StoreReply::Lease { ttl_s, .. })) => {
            if ttl_s == 0 {
                state.planner.held_until = now;
            } else {
                state.planner.held_until = asked_at + state.knobs.planner_ms;
            }
        }
        (Purpose::WriteDomain(record), result) => written(state, now, *record, result, out),
        _ => {}
    }
}

fn take(state: &mut RouterState, lease: i64, asked_at: Millis, out: &mut Vec<Effect>) {
    let key = Keys::planner(&state.hall);
    let op = StoreCall::Swap {
        checks: vec![Check {
            key: key.clone(),
            revision: 0,
        }],
        puts: vec![Put {
            key,
            value: state.me.to_string(),
            lease: Some(lease),
        }],
        deletes: Vec::new(),
        reads: Vec::new(),
    };
    state.call(Purpose::TakePlanner { lease, asked_at }, op, out);
}

/// A record's write has ended: what stands now is taken up, or read again.
fn written(
    state: &mut RouterState,
    now: Millis,
    written: DomainRecord,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let domain = written.domain.clone();
    match result {
        Ok(StoreReply::Swapped {
            done: true,
            revision,
            ..
        }) => fleet::on_domain_change(state, now, &domain, Some(written), revision, out),
        Ok(StoreReply::Swapped { entries, .. }) => {
            let key = Keys::domain(&domain);
            for entry in entries.iter().filter(|e| e.key == key) {
                let record = serde_json::from_str::<DomainRecord>(&entry.value).ok();
                fleet::on_domain_change(state, now, &domain, record, entry.revision, out);
            }
        }
        // The write may have taken effect: what stands now is read.
        _ => fleet::start_read(state, out),
    }
}

/// Sessions that only a planner needs: every instance of its hall outside a
/// group, and a second member of each group whose leader can't be reached.
pub(in crate::logic::router) fn add_wanted(
    state: &RouterState,
    wanted: &mut BTreeMap<InstanceId, SocketAddr>,
) {
    if !state.planner.was_held {
        return;
    }
    let mut used: std::collections::BTreeSet<&InstanceId> = Default::default();
    for group in state.fleet.groups() {
        used.extend(group.members.iter().map(|m| &m.instance));
        let leader = state.agents.get(&group.leader().instance);
        let reached = leader.is_some_and(|l| l.up.is_some());
        if let (false, Some(second)) = (reached, group.members.get(1)) {
            wanted.insert(second.instance.clone(), second.addr);
        }
    }
    for instance in state.instances.values() {
        let here = instance.hall == state.hall && !instance.is_router();
        if here && (!used.contains(&instance.id) || !instance.is_live()) {
            wanted.insert(instance.id.clone(), instance.addr);
        }
    }
}

/// Notes since when instances have been silent: to this router, or to their leader.
fn watch_silence(state: &mut RouterState, now: Millis) {
    let mut silent = BTreeMap::new();
    for (id, view) in &state.agents {
        if view.up.is_none() {
            silent.insert(id.clone(), view.down_since);
        }
        let lead = view.report.as_ref().and_then(|r| r.lead.as_ref());
        for missing in lead.iter().flat_map(|l| &l.missing) {
            let since = state.planner.silent.get(missing).copied();
            silent.insert(missing.clone(), since.unwrap_or(now));
        }
    }
    state.planner.silent = silent;
}

fn plan_hall(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let Some(bundle) = state.bundle().cloned() else {
        return;
    };
    refill(state, now);
    let leaving = leaving(state);
    let hall = count_hall(state, &leaving, &bundle.body);
    note_halts(state, &hall, out);
    let known = state.instances.clone();
    let here = by_domain(&known, &state.hall);
    for (domain, record, revision) in domains(state) {
        let writing = state.calling(|p| matches!(p, Purpose::WriteDomain(r) if r.domain == domain));
        if writing || state.planner.tokens < 1_000 {
            continue;
        }
        let input = input(state, &here, &leaving, now, &bundle.body, &record, &hall);
        let Some(plan) = plan(&input) else {
            continue;
        };
        state.planner.tokens -= 1_000;
        write(state, plan, revision, out);
        // Counts over the hall have changed; the next look plans the rest.
        return;
    }
}

fn refill(state: &mut RouterState, now: Millis) {
    let passed = now.saturating_sub(state.planner.tokens_at);
    let added = passed * u64::from(state.knobs.plan_rate) / 60;
    if added == 0 {
        return;
    }
    state.planner.tokens = (state.planner.tokens + added).min(TOKEN_LIMIT);
    state.planner.tokens_at = now;
}

/// Says once when a roll is halted because groups of the new version fail.
fn note_halts(
    state: &mut RouterState,
    hall: &BTreeMap<Arc<str>, WorldView>,
    out: &mut Vec<Effect>,
) {
    for (model, count) in hall {
        let halted = count.failing > 0 && count.old > 0;
        let known = state.planner.halted.contains_key(&**model);
        if halted && !known {
            let why = format!("{} groups of the new version fail to load", count.failing);
            let note = Note::new(NoteCode::RollHalted)
                .with("model", model)
                .with("why", &why);
            out.push(Effect::Note(note));
            state.planner.halted.insert(model.to_string(), why);
        } else if !halted {
            state.planner.halted.remove(&**model);
        }
    }
}

fn write(state: &mut RouterState, plan: Plan, revision: i64, out: &mut Vec<Effect>) {
    let key = Keys::domain(&plan.record.domain);
    out.extend(plan.notes.into_iter().map(Effect::Note));
    let op = StoreCall::Swap {
        checks: vec![Check {
            key: key.clone(),
            revision,
        }],
        puts: vec![Put {
            key: key.clone(),
            value: serde_json::to_string(&plan.record).unwrap_or_default(),
            lease: None,
        }],
        deletes: Vec::new(),
        reads: vec![key],
    };
    state.call(Purpose::WriteDomain(Box::new(plan.record)), op, out);
}
