//! Forms groups where the bundle wants more than exist.

use std::sync::Arc;

use super::plan::{is_current, wanted_kind};
use super::{Plan, PlanInput};
use crate::logic::{LogCode, LogEvent};
use crate::types::{GroupId, GroupRecord, Instance, Member, ModelSpec, Phase};

/// Forms missing groups from spares, the most valuable model first.
pub(super) fn form_groups(input: &PlanInput<'_>, plan: &mut Plan) {
    let mut specs: Vec<_> = input.body.models.iter().collect();
    specs.sort_by_key(|m| std::cmp::Reverse(m.value));
    for spec in specs {
        let counts = input
            .model_counts
            .get(&spec.name)
            .copied()
            .unwrap_or_default();
        let existing = count_current(&input.record.groups, spec);
        let mut wanted = spec.per_hall.saturating_sub(counts.current);
        if counts.failing > 0 && counts.old > 0 {
            // The rollout is halted: a version that fails to load gets no more instances.
            wanted = 0;
        }
        while wanted > 0 && count_current(&plan.record.groups, spec) < existing + wanted as usize {
            if !form_group(input, plan, spec) {
                break;
            }
        }
    }
}

fn count_current(groups: &[GroupRecord], spec: &ModelSpec) -> usize {
    groups
        .iter()
        .filter(|g| g.model == spec.name && g.phase == Phase::Serving && is_current(g, spec))
        .count()
}

fn form_group(input: &PlanInput<'_>, plan: &mut Plan, spec: &ModelSpec) -> bool {
    let kind = wanted_kind(spec.kind, &spec.name);
    let members: Vec<_> = input
        .spares(&plan.record, &kind)
        .into_iter()
        .take(spec.instances as usize)
        .map(to_member)
        .collect();
    if members.len() < spec.instances as usize {
        return false;
    }
    let epoch = plan.record.next_epoch();
    let id = GroupId::new(&input.record.domain, epoch);
    let event = LogEvent::new(LogCode::GroupPlanned)
        .with("group", &id)
        .with("epoch", epoch)
        .with("model", &spec.name);
    plan.log_events.push(event);
    plan.record.groups.push(GroupRecord {
        id,
        epoch,
        members,
        model: Arc::clone(&spec.name),
        version: Arc::clone(&spec.version),
        kind: spec.kind,
        role: spec.role,
        adapters: spec.adapters.clone(),
        load_ms: spec.load_ms,
        phase: Phase::Serving,
    });
    true
}

fn to_member(instance: &Instance) -> Member {
    Member {
        instance: instance.id.clone(),
        addr: instance.addr,
    }
}
