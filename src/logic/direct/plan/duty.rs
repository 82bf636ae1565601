//! The planner's lease in the key-value service.

use crate::logic::direct::{crashes, peers, DirectState};
use crate::logic::router::{CallId, Check, Put, StoreCall, StoreChange, StoreReply, StoreResult};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{Millis, StorePosition};

/// Key that the planner's lease holds.
const KEY: &str = "runrail/planner/fleet";

/// Key that tells in which era of the store the duty was last taken.
const ERA_KEY: &str = "runrail/planner/era";

/// Time until endpoints have written again what a store that came back has lost.
const REWRITTEN_MS: Millis = 2_000;

/// Renewals within one length of the lease.
const RENEWALS: u64 = 3;

/// Pause after a call that failed.
const PAUSE_MS: Millis = 200;

/// Most of a random pause before the free duty is taken: so much, and for each router a
/// call's time more, so that a few try at once however many there are.
const JITTER_MS: u64 = 60;
const JITTER_BY_ROUTER_MS: u64 = 4;

fn jitter(state: &mut DirectState) -> Millis {
    let most = JITTER_MS + JITTER_BY_ROUTER_MS * state.peers.len() as u64;
    state.random(most)
}

/// State of the planner's lease, as far as this router knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Duty {
    /// Whether the key was read and is watched.
    pub watched: bool,
    /// Who holds it.
    pub holder: Option<String>,
    /// Revision of the key; 0 where there is none.
    pub revision: i64,
    /// Own lease.
    pub lease: Option<i64>,
    /// How long the own lease holds without a renewal.
    pub length: Millis,
    /// When the call that granted it was sent.
    pub granted: Millis,
    /// Fence of the own duty; 0 without it.
    pub fence: u64,
    /// Position of the store at which it was taken.
    pub taken: StorePosition,
    /// From when on it may be taken: later than an earlier holder may believe in a lease
    /// that the store has lost.
    pub free_from: Millis,
    /// Until when the own lease holds for certain.
    pub until: Millis,
    /// When something is done about it next.
    pub next_at: Millis,
    /// The call that is under way.
    pub call: Option<(CallId, DutyCall)>,
}

/// What a call about the duty was for; times are those of its sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DutyCall {
    /// Read the key.
    Read,
    /// Get a lease.
    Grant(Millis),
    /// Write the key under the lease.
    Take(i64, Millis),
    /// Renew the lease.
    Renew(Millis),
    /// Give the lease back.
    Revoke,
}

impl Duty {
    /// Whether the duty is held for certain at `now`.
    pub fn holds(&self, now: Millis) -> bool {
        self.fence > 0 && now < self.until
    }

    /// Gives the duty up as lost; it is read anew.
    pub fn drop_it(&mut self) {
        *self = Duty {
            next_at: self.next_at,
            free_from: self.free_from,
            call: self.call,
            ..Duty::default()
        };
    }
}

/// Looks after the lease.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let duty = &state.plan.duty;
    if duty.call.is_some() || now < duty.next_at {
        return;
    }
    let own = duty.lease.filter(|_| duty.fence > 0);
    // A key of this instance without a lease is from an earlier life of its process.
    let mine = duty.holder.as_deref() == Some(state.me.as_str());
    let free = duty.watched && (duty.holder.is_none() || mine);
    let (what, op) = match (own, duty.lease) {
        (Some(lease), _) if state.stopping.is_some() => {
            (DutyCall::Revoke, StoreCall::Revoke { lease })
        }
        _ if state.stopping.is_some() => return,
        (Some(lease), _) => {
            state.plan.duty.next_at = now + duty.length / RENEWALS;
            (DutyCall::Renew(now), StoreCall::Renew { lease })
        }
        (None, Some(lease)) if free => (DutyCall::Take(lease, now), take(state, lease)),
        // The length goes by the fleet's size, so the list is read first.
        (None, None) if free && state.listed && now >= duty.free_from => {
            let ttl_s = (lease_ms(state) / 1_000).max(1);
            (DutyCall::Grant(now), StoreCall::Grant { ttl_s })
        }
        _ if !duty.watched => (DutyCall::Read, read()),
        _ => return,
    };
    let call = state.call(op, out);
    state.plan.duty.call = Some((call, what));
}

/// Length of the lease: as set, and a millisecond for each endpoint where that is
/// more, as a look at all of them takes this router's time. In whole seconds.
fn lease_ms(state: &DirectState) -> Millis {
    let by_size = state.endpoints.len() as Millis / 1_000 * 1_000;
    state.knobs.lease_ms.max(by_size)
}

/// The store's era, which is known once anything was read.
fn era(state: &DirectState) -> u64 {
    state.store_era.unwrap_or(0)
}

/// How long to wait for what the store has lost: endpoints write theirs again, and an
/// earlier holder's lease ends.
fn settling_ms(state: &DirectState) -> Millis {
    lease_ms(state).max(REWRITTEN_MS)
}

/// The store has come back from a copy: no lease or key that was read before it stands.
pub(in crate::logic::direct) fn restored(
    state: &mut DirectState,
    now: Millis,
    out: &mut Vec<Effect>,
) {
    if state.plan.duty.fence > 0 {
        let note = Note::new(NoteCode::DutyLost).with("why", "the store has gone back");
        out.push(Effect::Note(note));
    }
    state.plan.duty = Duty {
        free_from: now + settling_ms(state),
        ..Duty::default()
    };
}

fn read() -> StoreCall {
    StoreCall::Read {
        key: peers::PREFIX.to_string(),
        prefix: true,
    }
}

fn take(state: &DirectState, lease: i64) -> StoreCall {
    StoreCall::Swap {
        checks: vec![Check {
            key: KEY.to_string(),
            revision: state.plan.duty.revision,
        }],
        puts: vec![
            Put {
                key: KEY.to_string(),
                value: state.me.to_string(),
                lease: Some(lease),
            },
            Put {
                key: ERA_KEY.to_string(),
                value: era(state).to_string(),
                lease: None,
            },
        ],
        deletes: Vec::new(),
        reads: vec![KEY.to_string()],
    }
}

/// A call about the duty has been answered.
pub(in crate::logic::direct) fn answered(
    state: &mut DirectState,
    now: Millis,
    call: CallId,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let Some((_, what)) = state.plan.duty.call.filter(|(c, _)| *c == call) else {
        return;
    };
    state.plan.duty.call = None;
    if let (DutyCall::Read, Ok(StoreReply::Entries { entries, .. })) = (what, &result) {
        peers::on_keys_read(state, now, entries);
        crashes::on_store_entries(state, now, entries, out);
    }
    let pause = jitter(state);
    let (era, settling) = (era(state), settling_ms(state));
    let duty = &mut state.plan.duty;
    match (what, result) {
        (DutyCall::Read, Ok(StoreReply::Entries { revision, entries })) => {
            duty.watched = true;
            let taken_in = entries.iter().find(|e| e.key == ERA_KEY);
            if taken_in.is_some_and(|e| e.value != era.to_string()) {
                duty.free_from = duty.free_from.max(now + settling);
            }
            let found = entries.into_iter().find(|e| e.key == KEY);
            duty.revision = found.as_ref().map_or(0, |e| e.revision);
            duty.holder = found.map(|e| e.value);
            duty.next_at = now + pause;
            out.push(Effect::Watch { from: revision + 1 });
        }
        (DutyCall::Grant(at), Ok(StoreReply::Lease { lease, ttl_s })) => {
            duty.lease = Some(lease);
            duty.length = ttl_s * 1_000;
            duty.granted = at;
        }
        (DutyCall::Take(lease, _), Ok(StoreReply::Swapped { done, revision, .. })) if done => {
            duty.lease = Some(lease);
            duty.taken = StorePosition { era, revision };
            duty.fence = duty.taken.fence();
            duty.until = duty.granted + duty.length;
            duty.holder = Some(state.me.to_string());
            let note = Note::new(NoteCode::DutyTaken).with("fence", duty.fence);
            out.push(Effect::Note(note));
        }
        (DutyCall::Renew(at), Ok(StoreReply::Lease { ttl_s, .. })) if ttl_s > 0 => {
            duty.until = at + duty.length;
        }
        (DutyCall::Renew(_), Ok(_)) | (DutyCall::Revoke, _) => {
            duty.drop_it();
            out.push(Effect::Note(
                Note::new(NoteCode::DutyLost).with("why", "the lease is over"),
            ));
        }
        // The lease may be gone, or another router was first.
        (DutyCall::Take(..), _) => {
            duty.drop_it();
            duty.next_at = now + PAUSE_MS;
        }
        _ => duty.next_at = now + PAUSE_MS,
    }
}

/// The watched key has changed.
pub(in crate::logic::direct) fn changed(
    state: &mut DirectState,
    now: Millis,
    changes: &[StoreChange],
) {
    let pause = jitter(state);
    let me = state.me.to_string();
    let duty = &mut state.plan.duty;
    for change in changes.iter().filter(|c| c.key == KEY) {
        duty.holder.clone_from(&change.value);
        duty.revision = if change.value.is_some() {
            change.revision
        } else {
            0
        };
        let other = duty.holder.as_ref().is_some_and(|h| *h != me);
        if other && duty.fence > 0 {
            duty.fence = 0;
            duty.lease = None;
        }
        if duty.holder.is_none() && duty.fence == 0 {
            duty.next_at = now + pause;
        }
    }
}

/// Changes of the watched key may have been missed.
pub(in crate::logic::direct) fn unwatched(state: &mut DirectState) {
    state.plan.duty.watched = false;
}
