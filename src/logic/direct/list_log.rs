use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::InstanceId;

use super::DirectState;

/// Most endpoints that one event logs in a line each; more are logged as a count.
const MAX_LINES: usize = 8;

/// Endpoints that the list has begun or ceased to name, to be logged at the end of the event.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ListLog {
    /// Endpoints that are new in the list.
    pub listed: Vec<InstanceId>,
    /// Endpoints that are no longer in it.
    pub unlisted: Vec<InstanceId>,
}

/// Logs what the event has changed in the list.
pub(super) fn write(state: &mut DirectState, out: &mut Vec<Effect>) {
    let ListLog { listed, unlisted } = std::mem::take(&mut state.list_log);
    if listed.len() > MAX_LINES {
        out.push(count(LogCode::EndpointsListed, &listed));
    } else {
        for id in &listed {
            let Some(view) = state.endpoints.get(id) else {
                continue;
            };
            let event = LogEvent::new(LogCode::EndpointListed)
                .with("endpoint", id)
                .with("domain", &view.entry.domain)
                .with("service", &view.entry.service);
            out.push(Effect::Log(event));
        }
    }
    if unlisted.len() > MAX_LINES {
        out.push(count(LogCode::EndpointsUnlisted, &unlisted));
    } else {
        let event = |id| LogEvent::new(LogCode::EndpointUnlisted).with("endpoint", id);
        out.extend(unlisted.iter().map(|id| Effect::Log(event(id))));
    }
}

fn count(code: LogCode, ids: &[InstanceId]) -> Effect {
    let event = LogEvent::new(code).with("endpoints", ids.len());
    Effect::Log(event.with("first", &ids[0]))
}
