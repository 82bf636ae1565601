//! The planner's duty: its lease, what it knows, what it writes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::plan::is_current;
use super::{plan, Condition, Health, Plan, PlanInput, WorldView};
use crate::logic::router::{
    agents, fleet, Check, Keys, Purpose, Put, RouterState, StoreCall, StoreReply, StoreResult,
};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{
    BundleBody, DomainRecord, GroupId, GroupRecord, Instance, InstanceId, Millis, Phase,
};

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
    agents::look_soon(state, now);
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
        }) => fleet::domain_changed(state, now, &domain, Some(written), revision, out),
        Ok(StoreReply::Swapped { entries, .. }) => {
            let key = Keys::domain(&domain);
            for entry in entries.iter().filter(|e| e.key == key) {
                let record = serde_json::from_str::<DomainRecord>(&entry.value).ok();
                fleet::domain_changed(state, now, &domain, record, entry.revision, out);
            }
        }
        // The write may have taken effect: what stands now is read.
        _ => fleet::read(state, out),
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

/// Instances of the own hall by their fabric domain.
fn by_domain<'a>(
    instances: &'a BTreeMap<InstanceId, Instance>,
    hall: &Arc<str>,
) -> BTreeMap<Arc<str>, Vec<&'a Instance>> {
    let mut found: BTreeMap<Arc<str>, Vec<&Instance>> = BTreeMap::new();
    for instance in instances.values() {
        if &instance.hall == hall && !instance.is_router() {
            found
                .entry(instance.domain.clone())
                .or_default()
                .push(instance);
        }
    }
    found
}

/// Domains of the own hall: those with a record and those with instances only.
fn domains(state: &RouterState) -> Vec<(Arc<str>, DomainRecord, i64)> {
    let mut found: BTreeMap<Arc<str>, (DomainRecord, i64)> = state
        .fleet
        .domains
        .iter()
        .filter(|(_, (record, _))| record.hall == state.hall)
        .map(|(name, kept)| (name.clone(), kept.clone()))
        .collect();
    for instance in state.instances.values() {
        if instance.hall == state.hall && !instance.is_router() {
            let empty = || (DomainRecord::empty(&instance.domain, &instance.hall), 0);
            found.entry(instance.domain.clone()).or_insert_with(empty);
        }
    }
    found.into_iter().map(|(n, (d, r))| (n, d, r)).collect()
}

fn input<'a>(
    state: &'a RouterState,
    here: &BTreeMap<Arc<str>, Vec<&'a Instance>>,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    body: &'a BundleBody,
    record: &'a DomainRecord,
    hall: &'a BTreeMap<Arc<str>, WorldView>,
) -> PlanInput<'a> {
    let instances: Vec<&Instance> = here.get(&record.domain).cloned().unwrap_or_default();
    let mut health: BTreeMap<InstanceId, Health> = instances
        .iter()
        .map(|i| (i.id.clone(), health_of(state, leaving, now, i)))
        .collect();
    for member in record.groups.iter().flat_map(|g| &g.members) {
        health
            .entry(member.instance.clone())
            .or_insert(Health::Gone);
    }
    let conditions = record
        .groups
        .iter()
        .map(|g| (g.id.clone(), condition_of(state, leaving, g)))
        .collect();
    let failing: Vec<GroupId> = record
        .groups
        .iter()
        .filter(|g| fails(state, g))
        .map(|g| g.id.clone())
        .collect();
    PlanInput {
        body,
        record,
        instances,
        health,
        conditions,
        failing,
        hall,
        patience_ms: state.knobs.patience_ms,
        trade: state.knobs.trade,
    }
}

fn health_of(
    state: &RouterState,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    instance: &Instance,
) -> Health {
    if leaving.contains(&instance.id) {
        return Health::Leaving;
    }
    match state.planner.silent.get(&instance.id) {
        Some(since) => Health::Silent(now.saturating_sub(*since)),
        None => Health::Live,
    }
}

/// Instances that are leaving, by the list, their own word or their leader's.
fn leaving(state: &RouterState) -> BTreeSet<InstanceId> {
    let listed = state.instances.values().filter(|i| !i.is_live());
    let mut leaving: BTreeSet<_> = listed.map(|i| i.id.clone()).collect();
    for (id, view) in &state.agents {
        let Some(report) = &view.report else {
            continue;
        };
        if report.leaving {
            leaving.insert(id.clone());
        }
        if let Some(lead) = &report.lead {
            leaving.extend(lead.leaving.iter().cloned());
        }
    }
    leaving
}

fn condition_of(
    state: &RouterState,
    leaving: &BTreeSet<InstanceId>,
    group: &GroupRecord,
) -> Condition {
    let leader = state.agents.get(&group.leader().instance);
    let Some(report) = leader.and_then(|l| l.report.as_ref()) else {
        return if outlives(state, group) {
            Condition::Outlived
        } else {
            Condition::Lost
        };
    };
    match &report.lead {
        Some(lead) if lead.group == group.id && lead.open => Condition::Open,
        Some(lead) if lead.group == group.id => Condition::Closed,
        // The leader knows the epoch and has ended it, or hasn't taken it up yet.
        _ if ended(state, leaving, group) => Condition::Ended,
        _ => Condition::Closed,
    }
}

/// A leader without a lead has ended a group that drained or that loses a member.
fn ended(state: &RouterState, leaving: &BTreeSet<InstanceId>, group: &GroupRecord) -> bool {
    let lost = |id: &InstanceId| leaving.contains(id) || !state.instances.contains_key(id);
    group.phase == Phase::Draining || group.members.iter().any(|m| lost(&m.instance))
}

/// Whether another member says that it still grants its presence to the group.
fn outlives(state: &RouterState, group: &GroupRecord) -> bool {
    let grants = |id: &InstanceId| {
        let report = state.agents.get(id).and_then(|a| a.report.as_ref());
        report.is_some_and(|r| r.grant == Some((group.id.clone(), group.epoch)))
    };
    group.members.iter().skip(1).any(|m| grants(&m.instance))
}

fn fails(state: &RouterState, group: &GroupRecord) -> bool {
    let leader = state.agents.get(&group.leader().instance);
    let lead = leader
        .and_then(|l| l.report.as_ref())
        .and_then(|r| r.lead.as_ref());
    lead.is_some_and(|l| l.group == group.id && !l.failed.is_empty())
}

fn count_hall(
    state: &RouterState,
    leaving: &BTreeSet<InstanceId>,
    body: &BundleBody,
) -> BTreeMap<Arc<str>, WorldView> {
    let mut counts: BTreeMap<Arc<str>, WorldView> = BTreeMap::new();
    let records = state.fleet.domains.values().map(|(r, _)| r);
    for group in records
        .filter(|r| r.hall == state.hall)
        .flat_map(|r| &r.groups)
    {
        let Some(spec) = body.model(&group.model) else {
            continue;
        };
        let count = counts.entry(group.model.clone()).or_default();
        let open = u32::from(condition_of(state, leaving, group) == Condition::Open);
        if group.phase == Phase::Draining {
            count.draining += 1;
        } else if is_current(group, spec) {
            // A group that loses a member needs a successor before it drains.
            count.current += u32::from(!loses_member(leaving, group));
            count.current_open += open;
            count.failing += u32::from(fails(state, group));
        } else {
            count.old += 1;
            count.old_open += open;
        }
    }
    counts
}

fn loses_member(leaving: &BTreeSet<InstanceId>, group: &GroupRecord) -> bool {
    group.members.iter().any(|m| leaving.contains(&m.instance))
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
