use super::AgentState;
use crate::logic::{Effect, EndpointCall, LoadOrder, LogCode, LogEvent};
use crate::message::LeaseAsk;
use crate::types::Millis;

/// The load order of the own endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointLoad {
    /// Epoch under which the load was ordered.
    pub epoch: u64,
    /// Progress.
    pub state: LoadState,
}

/// Progress of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LoadState {
    /// Ordered.
    Loading,
    /// Loaded.
    Ready,
    /// Failed; ordered again from this time on.
    Failed(Millis),
}

impl EndpointLoad {
    /// Whether the endpoint has loaded for an epoch.
    pub fn is_ready(&self, epoch: u64) -> bool {
        self.epoch == epoch && self.state == LoadState::Ready
    }

    /// Whether the endpoint has failed to load for an epoch.
    pub fn has_failed(&self, epoch: u64) -> bool {
        self.epoch == epoch && matches!(self.state, LoadState::Failed(_))
    }
}

/// Orders the endpoint to load for an epoch, unless it has loaded, is loading or has failed too
/// recently.
pub(super) fn ensure_loaded(
    state: &mut AgentState,
    now: Millis,
    request: &LeaseAsk,
    valid_until: Millis,
    out: &mut Vec<Effect>,
) {
    let is_due = match &state.load {
        Some(load) if load.epoch == request.epoch => {
            matches!(load.state, LoadState::Failed(at) if now >= at)
        }
        _ => true,
    };
    if !is_due {
        return;
    }
    state.load = Some(EndpointLoad {
        epoch: request.epoch,
        state: LoadState::Loading,
    });
    out.push(Effect::Endpoint(EndpointCall::Load(Box::new(LoadOrder {
        epoch: request.epoch,
        model: request.model.clone(),
        version: request.version.clone(),
        kind: request.kind,
        role: request.role,
        adapters: request.adapters.clone(),
        rank: request.rank,
        size: request.size,
        valid_until,
    }))));
}

/// Records the end of a load.
pub(super) fn on_load_end(
    state: &mut AgentState,
    now: Millis,
    epoch: u64,
    ok: bool,
    out: &mut Vec<Effect>,
) {
    let retry_at = now + state.params.load_retry_ms;
    let Some(load) = &mut state.load else {
        return;
    };
    if load.epoch != epoch {
        return;
    }
    let code = if ok {
        load.state = LoadState::Ready;
        LogCode::Loaded
    } else {
        load.state = LoadState::Failed(retry_at);
        LogCode::LoadFailed
    };
    out.push(Effect::Log(LogEvent::new(code).with("epoch", epoch)));
}
