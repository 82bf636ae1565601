//! Reports to routers: changes of state at once, changes of the load at a bounded rate.

use super::{estimate, AgentState};
use crate::logic::Effect;
use crate::message::{LeadReport, LoadReport, Message, Report};
use crate::types::{InstanceId, Millis, Phase};

/// Time after its last order during which a router gets load reports.
const RECENT_USE_MS: Millis = 2_000;

/// Sends a report when something has changed.
///
/// A change of the load alone is sent at most once per `report_ms`, and only to routers that have
/// sent an order within [`RECENT_USE_MS`]. Any other change goes to all routers at once.
pub(super) fn send_changes(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if state.routers.is_empty() {
        return;
    }
    let report = build_report(state, now);
    if report == state.last_report {
        return;
    }
    if without_load(&report) != without_load(&state.last_report) {
        out.extend(state.routers.keys().map(|r| report_to(r, &report)));
    } else if now < state.reported_at + state.params.report_ms {
        return;
    } else if let Some(lead) = &report.lead {
        let load = LoadReport {
            epoch: lead.epoch,
            running: lead.running,
            loads: lead.loads.clone(),
        };
        let is_recent = |at: &Option<Millis>| at.is_some_and(|at| now < at + RECENT_USE_MS);
        let recent = state.routers.iter().filter(|(_, at)| is_recent(at));
        out.extend(recent.map(|(router, _)| Effect::Send {
            to: router.clone(),
            message: Message::Load(load.clone()),
        }));
    }
    state.last_report = report;
    state.reported_at = now;
}

/// Sends the current report to one router.
pub(super) fn send_current(
    state: &AgentState,
    now: Millis,
    router: &InstanceId,
    out: &mut Vec<Effect>,
) {
    out.push(report_to(router, &build_report(state, now)));
}

fn report_to(router: &InstanceId, report: &Report) -> Effect {
    Effect::Send {
        to: router.clone(),
        message: Message::Report(Box::new(report.clone())),
    }
}

fn without_load(report: &Report) -> Report {
    let mut report = report.clone();
    if let Some(lead) = &mut report.lead {
        lead.running = 0;
        lead.loads.clear();
    }
    report
}

fn build_report(state: &AgentState, now: Millis) -> Report {
    Report {
        bundle: state.brief.number,
        grant: state.grant.as_ref().map(|g| (g.group.clone(), g.epoch)),
        lead: lead_report(state, now),
        leaving: state.is_leaving(),
    }
}

fn lead_report(state: &AgentState, now: Millis) -> Option<LeadReport> {
    let lead = state.lead.as_ref()?;
    let members_with = |matches: &dyn Fn(&super::MemberLease) -> bool| -> Vec<InstanceId> {
        let members = lead.leases.iter().filter(|(_, h)| matches(h));
        members.map(|(i, _)| i.clone()).collect()
    };
    Some(LeadReport {
        group: lead.record.id.clone(),
        epoch: lead.record.epoch,
        open: state.is_open(now),
        phase: if lead.is_draining() {
            Phase::Draining
        } else {
            Phase::Serving
        },
        missing: members_with(&|h| now >= h.until),
        leaving: members_with(&|h| h.leaving),
        failed: members_with(&|h| h.failed),
        ready: lead.all_ready(),
        slots: state.params.slots,
        running: state.running.len() as u32,
        loads: estimate::class_loads(state),
    })
}
