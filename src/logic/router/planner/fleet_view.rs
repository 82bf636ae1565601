//! Gathers the input of a plan: health of instances, condition of groups, counts per model.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::plan::is_current;
use super::{GroupCondition, InstanceHealth, ModelCounts, PlanInput};
use crate::logic::router::RouterState;
use crate::types::{
    BundleBody, DomainRecord, GroupId, GroupRecord, Instance, InstanceId, Millis, Phase,
};

/// Instances of a data hall by fabric domain, without routers.
pub(super) fn instances_by_domain<'a>(
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

/// Fabric domains of the own data hall with their records and revisions.
///
/// A domain that has instances but no record yet gets an empty record with revision 0.
pub(super) fn hall_domains(state: &RouterState) -> Vec<(Arc<str>, DomainRecord, i64)> {
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

pub(super) fn build_input<'a>(
    state: &'a RouterState,
    by_domain: &BTreeMap<Arc<str>, Vec<&'a Instance>>,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    body: &'a BundleBody,
    record: &'a DomainRecord,
    model_counts: &'a BTreeMap<Arc<str>, ModelCounts>,
) -> PlanInput<'a> {
    let instances: Vec<&Instance> = by_domain.get(&record.domain).cloned().unwrap_or_default();
    let mut health: BTreeMap<InstanceId, InstanceHealth> = instances
        .iter()
        .map(|i| (i.id.clone(), health_of(state, leaving, now, i)))
        .collect();
    for member in record.groups.iter().flat_map(|g| &g.members) {
        health
            .entry(member.instance.clone())
            .or_insert(InstanceHealth::Gone);
    }
    let conditions = record
        .groups
        .iter()
        .map(|g| (g.id.clone(), condition_of(state, leaving, g)))
        .collect();
    let failing: Vec<GroupId> = record
        .groups
        .iter()
        .filter(|g| fails_to_load(state, g))
        .map(|g| g.id.clone())
        .collect();
    PlanInput {
        body,
        record,
        instances,
        health,
        conditions,
        failing,
        model_counts,
        patience_ms: state.params.patience_ms,
        allow_trade: state.params.trade,
    }
}

fn health_of(
    state: &RouterState,
    leaving: &BTreeSet<InstanceId>,
    now: Millis,
    instance: &Instance,
) -> InstanceHealth {
    if leaving.contains(&instance.id) {
        return InstanceHealth::Leaving;
    }
    match state.planner.silent_since.get(&instance.id) {
        Some(since) => InstanceHealth::Silent(now.saturating_sub(*since)),
        None => InstanceHealth::Live,
    }
}

/// Instances that are leaving by the instance list, by their own reports or by those of their
/// leaders.
pub(super) fn leaving_instances(state: &RouterState) -> BTreeSet<InstanceId> {
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
) -> GroupCondition {
    let leader = state.agents.get(&group.leader().instance);
    let Some(report) = leader.and_then(|l| l.report.as_ref()) else {
        return if has_granting_member(state, group) {
            GroupCondition::LeaderUnreachable
        } else {
            GroupCondition::Unreachable
        };
    };
    match &report.lead {
        Some(lead) if lead.group == group.id && lead.open => GroupCondition::Open,
        Some(lead) if lead.group == group.id => GroupCondition::Closed,
        // The leader has ended this epoch, or hasn't been assigned it yet.
        _ if has_ended(state, leaving, group) => GroupCondition::Ended,
        _ => GroupCondition::Closed,
    }
}

/// Whether a leader that reports not to lead the group counts as having ended it.
///
/// True where the group was to drain, or where a member is leaving or no longer listed.
fn has_ended(state: &RouterState, leaving: &BTreeSet<InstanceId>, group: &GroupRecord) -> bool {
    let is_lost = |id: &InstanceId| leaving.contains(id) || !state.instances.contains_key(id);
    group.phase == Phase::Draining || group.members.iter().any(|m| is_lost(&m.instance))
}

/// Whether another member than the leader reports that it grants its presence to the group.
fn has_granting_member(state: &RouterState, group: &GroupRecord) -> bool {
    let is_granting = |id: &InstanceId| {
        let report = state.agents.get(id).and_then(|a| a.report.as_ref());
        report.is_some_and(|r| r.grant == Some((group.id.clone(), group.epoch)))
    };
    group
        .members
        .iter()
        .skip(1)
        .any(|m| is_granting(&m.instance))
}

fn fails_to_load(state: &RouterState, group: &GroupRecord) -> bool {
    let leader = state.agents.get(&group.leader().instance);
    let lead = leader
        .and_then(|l| l.report.as_ref())
        .and_then(|r| r.lead.as_ref());
    lead.is_some_and(|l| l.group == group.id && !l.failed.is_empty())
}

pub(super) fn count_groups(
    state: &RouterState,
    leaving: &BTreeSet<InstanceId>,
    body: &BundleBody,
) -> BTreeMap<Arc<str>, ModelCounts> {
    let mut counts: BTreeMap<Arc<str>, ModelCounts> = BTreeMap::new();
    let records = state.fleet.domains.values().map(|(r, _)| r);
    for group in records
        .filter(|r| r.hall == state.hall)
        .flat_map(|r| &r.groups)
    {
        let Some(spec) = body.model(&group.model) else {
            continue;
        };
        let count = counts.entry(group.model.clone()).or_default();
        let open = u32::from(condition_of(state, leaving, group) == GroupCondition::Open);
        if group.phase == Phase::Draining {
            count.draining += 1;
        } else if is_current(group, spec) {
            // A group that loses a member isn't counted, so that a successor is formed before it
            // drains.
            count.current += u32::from(!has_leaving_member(leaving, group));
            count.current_open += open;
            count.failing += u32::from(fails_to_load(state, group));
        } else {
            count.old += 1;
            count.old_open += open;
        }
    }
    counts
}

fn has_leaving_member(leaving: &BTreeSet<InstanceId>, group: &GroupRecord) -> bool {
    group.members.iter().any(|m| leaving.contains(&m.instance))
}
