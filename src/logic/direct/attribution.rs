//! Whose report a probe has brought.
//!
//! A report doesn't name its endpoint, and another endpoint may start at the address of one that has ended
//! while the list still names both.

use std::cmp::Ordering;

use super::{DirectState, EndpointReport, EndpointView, ProbeResult};
use crate::types::InstanceId;

/// The result of a probe, as far as it is about the endpoint that was probed. A report from an address at
/// which another endpoint has started since shows that the probed one has ended. Where it isn't known which
/// of them started later, it only shows that something answers there. A report that agrees with what is known
/// of the endpoint's group counts as its own.
pub(super) fn attribute(state: &DirectState, id: &InstanceId, result: ProbeResult) -> ProbeResult {
    let (ProbeResult::Alive(report), Some(view)) = (&result, state.endpoints.get(id)) else {
        return result;
    };
    // Looking at all endpoints for each report would cost a planner much of its processor time.
    if report.seat.as_ref().map_or(0, |s| s.epoch) == view.epoch() {
        return result;
    }
    let others = state.endpoints.iter();
    let others = others.filter(|(other, v)| *other != id && v.entry.addr == view.entry.addr);
    let starts: Vec<_> = others.map(|(_, v)| compare_starts(v, view)).collect();
    if starts.contains(&Ordering::Greater) {
        ProbeResult::Replaced
    } else if starts.contains(&Ordering::Equal) {
        ProbeResult::Alive(EndpointReport {
            started_ms: report.started_ms,
            readable: false,
            ..EndpointReport::default()
        })
    } else {
        result
    }
}

/// Which of two endpoints at one address started later; equal if that isn't known.
fn compare_starts(a: &EndpointView, b: &EndpointView) -> Ordering {
    let rank = |v: &EndpointView| (v.listed, v.known_since);
    match a.entry.born.zip(b.entry.born) {
        Some((of_a, of_b)) => of_a.cmp(&of_b),
        None => rank(a).cmp(&rank(b)),
    }
}
