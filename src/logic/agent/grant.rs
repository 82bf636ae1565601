use super::{load, AgentState};
use crate::logic::{Effect, LogCode, LogEvent, Peer};
use crate::message::{LeaseAsk, Message};
use crate::types::{GroupId, InstanceId, Millis};

/// Presence that this agent, as a member, has granted to one epoch of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: u64,
    /// Its leader.
    pub leader: InstanceId,
    /// The leader's incarnation.
    pub incarnation: u64,
    /// Until this time on the own clock, only the same leader process can get another grant, for
    /// this epoch or a higher one. The grant ends earlier if that process returns it.
    pub until: Millis,
}

/// Answers a leader's request for a presence lease.
pub(super) fn on_lease_request(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    request: &LeaseAsk,
    out: &mut Vec<Effect>,
) {
    let message = if try_grant(state, now, from, request, out) {
        let load = state.load.as_ref();
        Message::LeaseGrant {
            holder: from.incarnation,
            epoch: request.epoch,
            round: request.round,
            ready: load.is_some_and(|s| s.is_ready(request.epoch)),
            failed: load.is_some_and(|s| s.has_failed(request.epoch)),
            leaving: state.is_leaving(),
            bundle: state.brief.number,
        }
    } else {
        Message::LeaseDeny {
            epoch: request.epoch,
            seen: state.seen_epoch,
        }
    };
    out.push(Effect::Send {
        to: from.id.clone(),
        message,
    });
}

/// Grants presence where the rules allow it; returns whether it was granted.
pub(super) fn try_grant(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    request: &LeaseAsk,
    out: &mut Vec<Effect>,
) -> bool {
    let allowed = is_allowed(state, now, from, request);
    // A higher epoch proves that the group's record has changed, so the older grant isn't renewed
    // any more, even while it still prevents the new one.
    state.seen_epoch = state.seen_epoch.max(request.epoch);
    if !allowed {
        return false;
    }
    let is_new = state.grant.as_ref().map(|g| g.epoch) != Some(request.epoch);
    let until = now + request.lease_ms + state.params.margin_ms;
    state.grant = Some(Grant {
        group: request.group.clone(),
        epoch: request.epoch,
        leader: from.id.clone(),
        incarnation: from.incarnation,
        until,
    });
    if is_new {
        let event = LogEvent::new(LogCode::PresenceGranted)
            .with("group", &request.group)
            .with("epoch", request.epoch)
            .with("leader", &from.id);
        out.push(Effect::Log(event));
    }
    load::ensure_loaded(state, now, request, until, out);
    true
}

fn is_allowed(state: &AgentState, now: Millis, from: &Peer, request: &LeaseAsk) -> bool {
    if state.rules.start_wait && now < state.grants_from {
        return false;
    }
    if request.lease_ms > state.params.lease_ms {
        return false;
    }
    if request.epoch < state.seen_epoch {
        return false;
    }
    let Some(grant) = &state.grant else {
        return true;
    };
    let is_same = grant.group == request.group && grant.epoch == request.epoch;
    let is_holder = is_held_by(grant, from);
    // A leader requests a lease under a higher epoch only after it has ended the lower one.
    let is_successor = is_holder && request.epoch > grant.epoch;
    (is_same && is_holder) || is_successor || now >= grant.until || !state.rules.exclusive_grant
}

fn is_held_by(grant: &Grant, peer: &Peer) -> bool {
    grant.leader == peer.id && grant.incarnation == peer.incarnation
}

/// Ends a grant that its leader has returned.
pub(super) fn on_lease_returned(
    state: &mut AgentState,
    from: &Peer,
    group: &GroupId,
    epoch: u64,
    out: &mut Vec<Effect>,
) {
    let matches = state
        .grant
        .as_ref()
        .is_some_and(|g| is_held_by(g, from) && &g.group == group && g.epoch <= epoch);
    if matches {
        state.grant = None;
        let event = LogEvent::new(LogCode::PresenceReturned)
            .with("group", group)
            .with("epoch", epoch);
        out.push(Effect::Log(event));
    }
}

/// Removes a grant that has expired.
pub(super) fn expire(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let Some(grant) = &state.grant else {
        return;
    };
    if now < grant.until {
        return;
    }
    let event = LogEvent::new(LogCode::PresenceLapsed)
        .with("group", &grant.group)
        .with("epoch", grant.epoch);
    out.push(Effect::Log(event));
    state.grant = None;
}
