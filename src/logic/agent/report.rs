//! Tells routers what has changed, at a bounded rate.

use super::{estimate, AgentState};
use crate::logic::Effect;
use crate::message::{LeadReport, LoadReport, Message, Report};
use crate::types::{InstanceId, Millis, Phase};

/// Time after its last order for which a router gets load reports, in milliseconds.
const USED_FOR: Millis = 2_000;

/// Tells routers when something has changed.
///
/// A change of load alone waits for the shortest interval and goes only to
/// routers that have used the group lately; all else goes to all at once.
pub(super) fn on_change(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if state.routers.is_empty() {
        return;
    }
    let report = build(state, now);
    if report == state.reported {
        return;
    }
    if without_load(&report) != without_load(&state.reported) {
        out.extend(state.routers.keys().map(|r| send(r, &report)));
    } else if now < state.reported_at + state.knobs.report_ms {
        return;
    } else if let Some(lead) = &report.lead {
        let load = LoadReport {
            epoch: lead.epoch,
            running: lead.running,
            loads: lead.loads.clone(),
        };
        let used = |at: &Option<Millis>| at.is_some_and(|at| now < at + USED_FOR);
        let users = state.routers.iter().filter(|(_, at)| used(at));
        out.extend(users.map(|(router, _)| Effect::Send {
            to: router.clone(),
            message: Message::Load(load.clone()),
        }));
    }
    state.reported = report;
    state.reported_at = now;
}

/// Sends the present report to one router.
pub(super) fn greet(state: &AgentState, now: Millis, router: &InstanceId, out: &mut Vec<Effect>) {
    out.push(send(router, &build(state, now)));
}

fn send(router: &InstanceId, report: &Report) -> Effect {
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

fn build(state: &AgentState, now: Millis) -> Report {
    Report {
        bundle: state.brief.number,
        grant: state.grant.as_ref().map(|g| (g.group.clone(), g.epoch)),
        lead: lead_report(state, now),
        leaving: state.leaving(),
    }
}

fn lead_report(state: &AgentState, now: Millis) -> Option<LeadReport> {
    let lead = state.lead.as_ref()?;
    let pick = |wanted: &dyn Fn(&super::Hold) -> bool| -> Vec<InstanceId> {
        let held = lead.holds.iter().filter(|(_, h)| wanted(h));
        held.map(|(i, _)| i.clone()).collect()
    };
    Some(LeadReport {
        group: lead.record.id.clone(),
        epoch: lead.record.epoch,
        open: state.open(now),
        phase: if lead.draining() {
            Phase::Draining
        } else {
            Phase::Serving
        },
        missing: pick(&|h| now >= h.until),
        leaving: pick(&|h| h.leaving),
        failed: pick(&|h| h.failed),
        ready: lead.all_ready(),
        slots: state.knobs.slots,
        running: state.running.len() as u32,
        loads: estimate::loads(state),
    })
}
