//! What the planner knows: health of instances, condition of groups, counts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::plan::is_current;
use super::{Condition, Health, PlanInput, WorldView};
use crate::logic::router::RouterState;
use crate::types::{
    BundleBody, DomainRecord, GroupId, GroupRecord, Instance, InstanceId, Millis, Phase,
};

/// Instances of the own hall by their fabric domain.
pub(super) fn by_domain<'a>(
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
pub(super) fn domains(state: &RouterState) -> Vec<(Arc<str>, DomainRecord, i64)> {
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

pub(super) fn input<'a>(
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
pub(super) fn leaving(state: &RouterState) -> BTreeSet<InstanceId> {
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

pub(super) fn count_hall(
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
