//! What an endpoint named before the list showed a restart of it: a hold-off, a rate limit, a cold
//! phase, its leaving.
//!
//! They end with the process. But any writer may leave an entry with a later start, so that one entry
//! alone ends none of them. They hold on until the endpoint's own report shows the start, a second
//! entry shows a further heartbeat of the new process, or the endpoint's own entries would have
//! replaced a wrong one.

use super::{ColdPhase, HoldOffPhase};
use crate::logic::direct::{DirectState, EndpointView, LifeSign, ProbeResult};
use crate::types::{EndpointEntry, InstanceId, Millis};

/// Longest time for which it holds on without further entries: routers that follow digests see no
/// heartbeats. The endpoint's own entries replace a wrong one in two heartbeats.
const MAX_KEPT_MS: Millis = 10_000;

/// What of an endpoint's view was named before an entry showed a restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NamedBefore {
    /// The start that the entry shows.
    pub sign: LifeSign,
    /// When the process started that named it, in Unix milliseconds.
    pub former: Option<u64>,
    /// When it ends without further entries.
    pub until: Millis,
    /// Whether the announcement of leaving was.
    pub leaving: bool,
    /// Whether the rate limit was.
    pub rate: bool,
    /// Whether the cold phase was.
    pub cold: bool,
    /// Whether the hold-off was.
    pub hold_off: bool,
    /// When the cold phase ends that was named since; 0 if none was.
    pub later_cold: Millis,
    /// The hold-off that was named since.
    pub later_hold: Option<HoldOffPhase>,
}

/// Keeps what an endpoint has named in its view after a restart that only its entry shows.
pub(in crate::logic::direct) fn keep(before: EndpointView, view: &mut EndpointView, now: Millis) {
    let named = NamedBefore {
        sign: LifeSign::of(&view.entry),
        former: before.entry.born,
        until: now + MAX_KEPT_MS,
        leaving: before.is_leaving(),
        rate: before.rate.is_some(),
        cold: before.cold.is_some(),
        hold_off: before.hold_off.is_some(),
        later_cold: 0,
        later_hold: None,
    };
    view.leaving = before.is_leaving();
    view.rate = before.rate;
    view.cold = before.cold;
    view.hold_off = before.hold_off;
    view.named_before = Some(named);
}

/// Handles a further entry of an endpoint.
pub(in crate::logic::direct) fn on_entry(view: &mut EndpointView, entry: &EndpointEntry) {
    let Some(named) = &view.named_before else {
        return;
    };
    if named.sign.continues_in(&LifeSign::of(entry)) {
        end(view);
    } else if entry.born < named.sign.born {
        // The process that named it still runs.
        view.named_before = None;
    }
}

/// Handles the result of a probe: the endpoint's own report may show the start.
pub(in crate::logic::direct) fn on_probe_result(
    state: &mut DirectState,
    id: &InstanceId,
    result: &ProbeResult,
) {
    let (ProbeResult::Alive(report), Some(view)) = (result, state.endpoints.get_mut(id)) else {
        return;
    };
    let claimed = view.named_before.as_ref().and_then(|n| n.sign.born);
    match claimed.zip(report.started_ms) {
        Some((claimed, started)) if started >= claimed => end(view),
        // The process that named it still runs.
        Some(_) => view.named_before = None,
        None => {}
    }
}

/// Ends what the new process hasn't named again.
fn end(view: &mut EndpointView) {
    let Some(named) = view.named_before.take() else {
        return;
    };
    if named.leaving {
        view.leaving = false;
    }
    if named.rate {
        view.rate = None;
    }
    if named.cold {
        let later = Some(named.later_cold).filter(|until| *until > 0);
        let later = view.cold.take().zip(later);
        view.cold = later.map(|(cold, until)| ColdPhase { until, ..cold });
    }
    if named.hold_off {
        view.hold_off = named.later_hold;
    }
}

/// Ends what no further entry has ended in time.
pub(in crate::logic::direct) fn on_tick(state: &mut DirectState, now: Millis) {
    let views = state.endpoints.values_mut();
    let is_due = |v: &EndpointView| v.named_before.as_ref().is_some_and(|n| now >= n.until);
    views.filter(|v| is_due(v)).for_each(end);
}
