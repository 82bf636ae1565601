use super::{FleetStatus, GroupStatus};

use super::{head, RouterState};
use crate::types::{GroupRecord, Millis};

/// Builds the status of the fleet for operators.
pub(super) fn build(state: &RouterState, now: Millis) -> FleetStatus {
    let in_group = |id: &crate::types::InstanceId| state.fleet.groups().any(|g| g.has(id));
    let spares = state
        .instances
        .values()
        .filter(|i| i.hall == state.hall && !i.is_router() && i.is_live() && !in_group(&i.id))
        .map(|i| i.id.to_string())
        .collect();
    FleetStatus {
        router: state.own_id.to_string(),
        hall: state.hall.to_string(),
        bundle: state.bundle_number(),
        proven: head::is_proven(state, now),
        store_up: state.store_up,
        planner: state.planner.is_held(now),
        requests: state.requests.len(),
        groups: state
            .fleet
            .groups()
            .map(|g| group_status(state, g))
            .collect(),
        spares,
    }
}

fn group_status(state: &RouterState, record: &GroupRecord) -> GroupStatus {
    let view = state.agents.get(&record.leader().instance);
    let lead = view
        .and_then(|v| v.report.as_ref())
        .and_then(|r| r.lead.as_ref())
        .filter(|l| l.epoch == record.epoch);
    let condition = match (view, lead) {
        (None, _) => "not watched from this router".to_string(),
        (Some(v), _) if v.up.is_none() => "leader unreachable".to_string(),
        (_, None) => "leader hasn't reported this epoch".to_string(),
        (_, Some(l)) if l.open => "open".to_string(),
        (_, Some(l)) if l.phase == crate::types::Phase::Draining => "draining".to_string(),
        (_, Some(l)) if !l.missing.is_empty() => format!("lacks {}", join(&l.missing)),
        (_, Some(l)) if !l.failed.is_empty() => format!("load failed on {}", join(&l.failed)),
        _ => "loading".to_string(),
    };
    GroupStatus {
        id: record.id.to_string(),
        epoch: record.epoch,
        model: record.model.to_string(),
        version: record.version.to_string(),
        members: record
            .members
            .iter()
            .map(|m| m.instance.to_string())
            .collect(),
        state: condition,
        running: lead.map_or(0, |l| l.running),
        waiting: lead.map_or(0, |l| l.loads.iter().map(|c| c.queued).sum()),
        slots: lead.map_or(0, |l| l.slots),
    }
}

fn join(ids: &[crate::types::InstanceId]) -> String {
    let names: Vec<_> = ids.iter().map(|i| i.as_str()).collect();
    names.join(", ")
}
