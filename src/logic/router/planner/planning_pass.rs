//! The planner lease, the planning pass, and the writes of domain records.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::fleet_view::{
    build_input, count_groups, hall_domains, instances_by_domain, leaving_instances,
};
use super::{plan, ModelCounts, Plan};
use crate::logic::router::{
    agents, fleet, CallPurpose, KeyWrite, Keys, RevisionCheck, RouterState, StoreCall, StoreReply,
    StoreResult,
};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{DomainRecord, InstanceId, Millis};

/// Most thousandths of a token that are saved; a write takes one token.
const MAX_WRITE_MILLI_TOKENS: u64 = 10_000;

/// Renews the lease, and runs the planning pass where the lease is held.
pub(in crate::logic::router) fn on_tick(
    state: &mut RouterState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    check_lease_change(state, now, out);
    renew_lease(state, now, out);
    if now < state.planner.next_pass {
        return;
    }
    state.planner.next_pass = now + state.params.plan_ms;
    update_silence(state, now);
    if state.planner.is_held(now) && state.fleet.is_read && state.has_list {
        plan_hall(state, now, out);
    }
}

fn check_lease_change(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let held = state.planner.is_held(now);
    if held == state.planner.was_held {
        return;
    }
    state.planner.was_held = held;
    agents::schedule_dial(state, now);
    let code = if held {
        LogCode::PlannerHeld
    } else {
        LogCode::PlannerLost
    };
    out.push(Effect::Log(LogEvent::new(code).with("hall", &state.hall)));
}

/// Renews the lease while it is held. Otherwise reads the planner key, to acquire the lease when
/// the key is free.
fn renew_lease(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.planner.lease_due {
        return;
    }
    state.planner.lease_due = now + state.params.planner_ms / 3;
    let busy = state.has_call(|p| {
        matches!(
            p,
            CallPurpose::ReadPlanner
                | CallPurpose::PlannerLease(_)
                | CallPurpose::AcquirePlanner { .. }
                | CallPurpose::RenewPlanner(_)
        )
    });
    if busy {
        return;
    }
    if let (true, Some(lease)) = (state.planner.is_held(now), state.planner.lease) {
        state.call_store(
            CallPurpose::RenewPlanner(now),
            StoreCall::Renew { lease },
            out,
        );
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
    state.call_store(CallPurpose::ReadPlanner, op, out);
}

/// Handles the reply to a store call of the planner.
pub(in crate::logic::router) fn on_store_reply(
    state: &mut RouterState,
    now: Millis,
    purpose: CallPurpose,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    match (purpose, result) {
        (CallPurpose::ReadPlanner, Ok(StoreReply::Entries { entries, .. }))
            if entries.is_empty() =>
        {
            let ttl_s = (state.params.planner_ms / 1_000).max(1);
            state.call_store(
                CallPurpose::PlannerLease(now),
                StoreCall::Grant { ttl_s },
                out,
            );
        }
        (CallPurpose::PlannerLease(asked_at), Ok(StoreReply::Lease { lease, .. })) => {
            acquire_lease(state, lease, asked_at, out);
        }
        (
            CallPurpose::AcquirePlanner { lease, asked_at },
            Ok(StoreReply::Transaction { done: true, .. }),
        ) => {
            state.planner.lease = Some(lease);
            state.planner.held_until = asked_at + state.params.planner_ms;
            state.planner.next_pass = now;
        }
        (CallPurpose::RenewPlanner(asked_at), Ok(StoreReply::Lease { ttl_s, .. })) => {
            if ttl_s == 0 {
                state.planner.held_until = now;
            } else {
                state.planner.held_until = asked_at + state.params.planner_ms;
            }
        }
        (CallPurpose::WriteDomain(record), result) => {
            on_record_written(state, now, *record, result, out)
        }
        _ => {}
    }
}

fn acquire_lease(state: &mut RouterState, lease: i64, asked_at: Millis, out: &mut Vec<Effect>) {
    let key = Keys::planner(&state.hall);
    let op = StoreCall::Transaction {
        checks: vec![RevisionCheck {
            key: key.clone(),
            revision: 0,
        }],
        puts: vec![KeyWrite {
            key,
            value: state.own_id.to_string(),
            lease: Some(lease),
        }],
        deletes: Vec::new(),
        reads: Vec::new(),
    };
    state.call_store(CallPurpose::AcquirePlanner { lease, asked_at }, op, out);
}

/// Applies the record that stands after a write, or reads it again where the reply doesn't tell.
fn on_record_written(
    state: &mut RouterState,
    now: Millis,
    written: DomainRecord,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let domain = written.domain.clone();
    match result {
        Ok(StoreReply::Transaction {
            done: true,
            revision,
            ..
        }) => fleet::on_domain_change(state, now, &domain, Some(written), revision, out),
        Ok(StoreReply::Transaction { entries, .. }) => {
            let key = Keys::domain(&domain);
            for entry in entries.iter().filter(|e| e.key == key) {
                let record = serde_json::from_str::<DomainRecord>(&entry.value).ok();
                fleet::on_domain_change(state, now, &domain, record, entry.revision, out);
            }
        }
        // The write may have taken effect, so the stored records are read.
        _ => fleet::start_read(state, out),
    }
}

/// Adds the sessions that only a planner needs.
///
/// These are the instances of its data hall that are in no group or not live, and the second
/// member of each group whose leader has no session with this router.
pub(in crate::logic::router) fn add_planner_sessions(
    state: &RouterState,
    wanted: &mut BTreeMap<InstanceId, SocketAddr>,
) {
    if !state.planner.was_held {
        return;
    }
    let mut in_groups: std::collections::BTreeSet<&InstanceId> = Default::default();
    for group in state.fleet.groups() {
        in_groups.extend(group.members.iter().map(|m| &m.instance));
        let leader = state.agents.get(&group.leader().instance);
        let is_reached = leader.is_some_and(|l| l.up.is_some());
        if let (false, Some(second)) = (is_reached, group.members.get(1)) {
            wanted.insert(second.instance.clone(), second.addr);
        }
    }
    for instance in state.instances.values() {
        let is_local = instance.hall == state.hall && !instance.is_router();
        if is_local && (!in_groups.contains(&instance.id) || !instance.is_live()) {
            wanted.insert(instance.id.clone(), instance.addr);
        }
    }
}

/// Records since when instances have had no session with this router, or no lease with their
/// leader.
fn update_silence(state: &mut RouterState, now: Millis) {
    let mut silent = BTreeMap::new();
    for (id, view) in &state.agents {
        if view.up.is_none() {
            silent.insert(id.clone(), view.down_since);
        }
        let lead = view.report.as_ref().and_then(|r| r.lead.as_ref());
        for missing in lead.iter().flat_map(|l| &l.missing) {
            let since = state.planner.silent_since.get(missing).copied();
            silent.insert(missing.clone(), since.unwrap_or(now));
        }
    }
    state.planner.silent_since = silent;
}

fn plan_hall(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let Some(bundle) = state.bundle().cloned() else {
        return;
    };
    refill_tokens(state, now);
    let leaving = leaving_instances(state);
    let model_counts = count_groups(state, &leaving, &bundle.body);
    log_halts(state, &model_counts, out);
    let known = state.instances.clone();
    let by_domain = instances_by_domain(&known, &state.hall);
    for (domain, record, revision) in hall_domains(state) {
        let writing =
            state.has_call(|p| matches!(p, CallPurpose::WriteDomain(r) if r.domain == domain));
        if writing || state.planner.write_milli_tokens < 1_000 {
            continue;
        }
        let input = build_input(
            state,
            &by_domain,
            &leaving,
            now,
            &bundle.body,
            &record,
            &model_counts,
        );
        let Some(plan) = plan(&input) else {
            continue;
        };
        state.planner.write_milli_tokens -= 1_000;
        write_record(state, plan, revision, out);
        // The write changes the counts of the data hall, so the next pass plans the other domains.
        return;
    }
}

fn refill_tokens(state: &mut RouterState, now: Millis) {
    let elapsed = now.saturating_sub(state.planner.refilled_at);
    let added = elapsed * u64::from(state.params.plan_rate) / 60;
    if added == 0 {
        return;
    }
    state.planner.write_milli_tokens =
        (state.planner.write_milli_tokens + added).min(MAX_WRITE_MILLI_TOKENS);
    state.planner.refilled_at = now;
}

/// Logs once when a rollout is halted because groups of the new version fail to load.
fn log_halts(
    state: &mut RouterState,
    model_counts: &BTreeMap<Arc<str>, ModelCounts>,
    out: &mut Vec<Effect>,
) {
    for (model, count) in model_counts {
        let halted = count.failing > 0 && count.old > 0;
        let known = state.planner.halted_rollouts.contains_key(&**model);
        if halted && !known {
            let why = format!("{} groups of the new version fail to load", count.failing);
            let event = LogEvent::new(LogCode::RollHalted)
                .with("model", model)
                .with("why", &why);
            out.push(Effect::Log(event));
            state.planner.halted_rollouts.insert(model.to_string(), why);
        } else if !halted {
            state.planner.halted_rollouts.remove(&**model);
        }
    }
}

fn write_record(state: &mut RouterState, plan: Plan, revision: i64, out: &mut Vec<Effect>) {
    let key = Keys::domain(&plan.record.domain);
    out.extend(plan.log_events.into_iter().map(Effect::Log));
    let op = StoreCall::Transaction {
        checks: vec![RevisionCheck {
            key: key.clone(),
            revision,
        }],
        puts: vec![KeyWrite {
            key: key.clone(),
            value: serde_json::to_string(&plan.record).unwrap_or_default(),
            lease: None,
        }],
        deletes: Vec::new(),
        reads: vec![key],
    };
    state.call_store(CallPurpose::WriteDomain(Box::new(plan.record)), op, out);
}
