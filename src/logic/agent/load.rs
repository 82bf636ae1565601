use super::AgentState;
use crate::logic::{Effect, EndpointCall, LoadOrder, Note, NoteCode};
use crate::message::LeaseAsk;
use crate::types::Millis;

/// What the own endpoint holds for a group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// Epoch under which it was ordered.
    pub epoch: u64,
    /// How far it is.
    pub state: ShareState,
}

/// Progress of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ShareState {
    /// Ordered.
    Loading,
    /// Loaded.
    Ready,
    /// Failed; tried again at this time.
    Failed(Millis),
}

impl Share {
    /// Whether the endpoint has loaded for an epoch.
    pub fn ready(&self, epoch: u64) -> bool {
        self.epoch == epoch && self.state == ShareState::Ready
    }

    /// Whether the endpoint has failed to load for an epoch.
    pub fn failed(&self, epoch: u64) -> bool {
        self.epoch == epoch && matches!(self.state, ShareState::Failed(_))
    }
}

/// Orders the endpoint to load for an epoch, unless that is done or under way.
pub(super) fn ensure(
    state: &mut AgentState,
    now: Millis,
    ask: &LeaseAsk,
    valid_until: Millis,
    out: &mut Vec<Effect>,
) {
    let wanted = match &state.share {
        Some(share) if share.epoch == ask.epoch => {
            matches!(share.state, ShareState::Failed(at) if now >= at)
        }
        _ => true,
    };
    if !wanted {
        return;
    }
    state.share = Some(Share {
        epoch: ask.epoch,
        state: ShareState::Loading,
    });
    out.push(Effect::Endpoint(EndpointCall::Load(Box::new(LoadOrder {
        epoch: ask.epoch,
        model: ask.model.clone(),
        version: ask.version.clone(),
        kind: ask.kind,
        role: ask.role,
        adapters: ask.adapters.clone(),
        rank: ask.rank,
        size: ask.size,
        valid_until,
    }))));
}

/// Notes the end of a load.
pub(super) fn ended(
    state: &mut AgentState,
    now: Millis,
    epoch: u64,
    ok: bool,
    out: &mut Vec<Effect>,
) {
    let retry_at = now + state.knobs.load_retry_ms;
    let Some(share) = &mut state.share else {
        return;
    };
    if share.epoch != epoch {
        return;
    }
    let code = if ok {
        share.state = ShareState::Ready;
        NoteCode::Loaded
    } else {
        share.state = ShareState::Failed(retry_at);
        NoteCode::LoadFailed
    };
    out.push(Effect::Note(Note::new(code).with("epoch", epoch)));
}
