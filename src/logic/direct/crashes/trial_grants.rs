//! The planner's leave for trials at other routers.
//!
//! Trials begin one at a time, by the planner's word. A router that gets a request to be tried asks for
//! it, so that a trial doesn't wait until the planner itself gets such a request.

use std::net::SocketAddr;

use super::{trials, Verdict};
use crate::logic::direct::{peers, DirectEffect, DirectState, Fingerprint, PeerMessage};
use crate::logic::Effect;
use crate::types::Millis;

/// Shortest time between two questions of a router.
const ASK_INTERVAL_MS: Millis = 100;

/// Time within which a router has to begin a trial that was granted.
const GRANT_MS: Millis = 500;

/// Time for which the planner begins and grants no other trial, as it doesn't see the outcome of one that
/// is answered. It is longer than a trial takes to begin and to be answered.
const TRIAL_MS: Millis = 2_000;

/// Trials that were granted to this router, and by it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TrialGrants {
    /// Causes that this router may try, and until when.
    granted: Option<(Vec<Fingerprint>, Millis)>,
    /// When it last asked.
    asked_at: Millis,
    /// Until when a trial that this router has granted is taken to be in progress.
    busy_until: Millis,
}

/// Whether this router allows trials: it is the planner, or was the last one as far as it knows. While no
/// router can renew the planner lease, requests and segments that are harmless would stay held.
fn allows_trials(state: &DirectState) -> bool {
    state.plan.lease.fence > 0
}

/// Whether this router may begin a trial of some held causes; asks the planner otherwise.
pub(super) fn may_begin(
    state: &mut DirectState,
    now: Millis,
    held: &[Fingerprint],
    out: &mut Vec<Effect>,
) -> bool {
    if allows_trials(state) {
        return now >= state.crashes.grants.busy_until;
    }
    let grants = &mut state.crashes.grants;
    let granted = grants.granted.take().filter(|(_, until)| now < *until);
    let is_granted = |cause| granted.as_ref().is_some_and(|(g, _)| g.contains(cause));
    if held.iter().all(is_granted) {
        return true;
    }
    grants.granted = granted;
    if now >= grants.asked_at + ASK_INTERVAL_MS {
        grants.asked_at = now;
        peers::notify_planner(state, PeerMessage::TrialAsked(held.to_vec()), out);
    }
    false
}

/// Handles another router's question: grants a trial if this router may, holds all the causes and no
/// other trial is in progress.
pub(in crate::logic::direct) fn on_trial_asked(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    causes: Vec<Fingerprint>,
    out: &mut Vec<Effect>,
) {
    let table = &state.crashes.table;
    let is_held = |cause: &Fingerprint| table.verdict(now, cause) == Verdict::Held;
    let is_free = allows_trials(state) && now >= state.crashes.grants.busy_until;
    if !is_free || !causes.iter().all(is_held) || !trials::is_due(state, now, &causes) {
        return;
    }
    state.crashes.grants.busy_until = now + TRIAL_MS;
    let message = PeerMessage::TrialGranted(causes);
    out.push(Effect::Direct(DirectEffect::SendMessage {
        to: from,
        message,
    }));
}

/// Handles the planner's leave to try some causes.
pub(in crate::logic::direct) fn on_trial_granted(
    state: &mut DirectState,
    now: Millis,
    causes: Vec<Fingerprint>,
) {
    state.crashes.grants.granted = Some((causes, now + GRANT_MS));
}
