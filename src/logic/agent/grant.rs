use super::{load, AgentState};
use crate::logic::{Effect, Note, NoteCode, Peer};
use crate::message::{LeaseAsk, Message};
use crate::types::{GroupId, InstanceId, Millis};

/// Presence that a member has granted to one epoch of one group.
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
    /// Nothing else is granted up to this time on the own clock.
    pub until: Millis,
}

/// Answers a leader's request for presence.
pub(super) fn asked(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    ask: &LeaseAsk,
    out: &mut Vec<Effect>,
) {
    let message = if consider(state, now, from, ask, out) {
        let share = state.share.as_ref();
        Message::LeaseGrant {
            holder: from.incarnation,
            epoch: ask.epoch,
            round: ask.round,
            ready: share.is_some_and(|s| s.ready(ask.epoch)),
            failed: share.is_some_and(|s| s.failed(ask.epoch)),
            leaving: state.leaving(),
            bundle: state.brief.number,
        }
    } else {
        Message::LeaseDeny {
            epoch: ask.epoch,
            seen: state.seen_epoch,
        }
    };
    out.push(Effect::Send {
        to: from.id.clone(),
        message,
    });
}

/// Grants presence where the rules allow it, and says whether they did.
pub(super) fn consider(
    state: &mut AgentState,
    now: Millis,
    from: &Peer,
    ask: &LeaseAsk,
    out: &mut Vec<Effect>,
) -> bool {
    let allowed = allowed(state, now, from, ask);
    // A higher epoch proves that the record has moved on, so the older grant
    // isn't renewed even while it keeps this one from being given.
    state.seen_epoch = state.seen_epoch.max(ask.epoch);
    if !allowed {
        return false;
    }
    let fresh = state.grant.as_ref().map(|g| g.epoch) != Some(ask.epoch);
    let until = now + ask.lease_ms + state.knobs.margin_ms;
    state.grant = Some(Grant {
        group: ask.group.clone(),
        epoch: ask.epoch,
        leader: from.id.clone(),
        incarnation: from.incarnation,
        until,
    });
    if fresh {
        let note = Note::new(NoteCode::PresenceGranted)
            .with("group", &ask.group)
            .with("epoch", ask.epoch)
            .with("leader", &from.id);
        out.push(Effect::Note(note));
    }
    load::ensure(state, now, ask, until, out);
    true
}

fn allowed(state: &AgentState, now: Millis, from: &Peer, ask: &LeaseAsk) -> bool {
    if state.rules.start_wait && now < state.ready_at {
        return false;
    }
    if ask.lease_ms > state.knobs.lease_ms {
        return false;
    }
    if ask.epoch < state.seen_epoch {
        return false;
    }
    let Some(grant) = &state.grant else {
        return true;
    };
    let same = grant.group == ask.group && grant.epoch == ask.epoch;
    let holder = held_by(grant, from);
    // A leader asks under a higher epoch only after it has given up the lower one.
    let moved_on = holder && ask.epoch > grant.epoch;
    (same && holder) || moved_on || now >= grant.until || !state.rules.exclusive_grant
}

fn held_by(grant: &Grant, peer: &Peer) -> bool {
    grant.leader == peer.id && grant.incarnation == peer.incarnation
}

/// Takes back a grant that its leader has returned.
pub(super) fn returned(
    state: &mut AgentState,
    from: &Peer,
    group: &GroupId,
    epoch: u64,
    out: &mut Vec<Effect>,
) {
    let matches = state
        .grant
        .as_ref()
        .is_some_and(|g| held_by(g, from) && &g.group == group && g.epoch <= epoch);
    if matches {
        state.grant = None;
        let note = Note::new(NoteCode::PresenceReturned)
            .with("group", group)
            .with("epoch", epoch);
        out.push(Effect::Note(note));
    }
}

/// Forgets a grant that has run out.
pub(super) fn expire(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let Some(grant) = &state.grant else {
        return;
    };
    if now < grant.until {
        return;
    }
    let note = Note::new(NoteCode::PresenceLapsed)
        .with("group", &grant.group)
        .with("epoch", grant.epoch);
    out.push(Effect::Note(note));
    state.grant = None;
}
