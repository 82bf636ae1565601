//! Tells routers what has changed, at a bounded rate.

use super::{estimate, AgentState};
use crate::logic::Effect;
use crate::message::{LeadReport, Message, Report};
use crate::types::{InstanceId, Millis, Phase};

/// Sends a report to every router when something has changed.
///
/// A change of counts alone waits for the shortest interval; all else goes at once.
pub(super) fn on_change(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if state.routers.is_empty() {
        return;
    }
    let report = build(state, now);
    if report == state.reported {
        return;
    }
    let urgent = without_counts(&report) != without_counts(&state.reported);
    if !urgent && now < state.reported_at + state.knobs.report_ms {
        return;
    }
    for router in &state.routers {
        out.push(send(router, &report));
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

fn without_counts(report: &Report) -> Report {
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
