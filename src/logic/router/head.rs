use std::sync::Arc;

use super::{agents, fleet, Keys, Purpose, RouterState, StoreCall, StoreEntry};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::{Bundle, Head, Millis};

/// Which bundle is in force at a router, and how well that is proved.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeadView {
    /// The bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// Newest head seen in the service, which may be ahead of the bundle in force.
    pub head: Head,
    /// Revision of that head.
    pub revision: i64,
    /// Time up to which the bundle in force is known to have been the newest.
    pub proven_at: Option<Millis>,
    /// When the service is asked next.
    pub prove_at: Millis,
    /// When peers are asked next.
    pub ask_at: Millis,
    /// Whether the proof was good at the last look.
    pub was_proven: bool,
}

/// Whether new work may be taken: no other bundle can have been in force for long.
pub(super) fn is_proven(state: &RouterState, now: Millis) -> bool {
    if !state.rules.head_proof {
        return true;
    }
    let limit = state.knobs.proof_ms;
    state.head.proven_at.is_some_and(|at| now < at + limit)
}

/// Counts a proof that the bundle in force was the newest at `at`.
pub(super) fn record_proof(state: &mut RouterState, at: Millis) {
    let before = state.head.proven_at.unwrap_or(0);
    state.head.proven_at = Some(before.max(at));
}

/// Asks the service for the head when that is due.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    log_proof_change(state, now, out);
    if now < state.head.prove_at {
        return;
    }
    state.head.prove_at = now + state.knobs.prove_ms;
    if state.calling(|p| matches!(p, Purpose::ProveHead(_))) {
        return;
    }
    let op = StoreCall::Read {
        key: Keys::HEAD.to_string(),
        prefix: false,
    };
    state.call(Purpose::ProveHead(now), op, out);
}

fn log_proof_change(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let proven = is_proven(state, now);
    if proven == state.head.was_proven {
        return;
    }
    state.head.was_proven = proven;
    let code = if proven {
        NoteCode::HeadProven
    } else {
        NoteCode::HeadUnproven
    };
    out.push(Effect::Note(Note::new(code).with("bundle", state.number())));
}

/// The service has answered which head it holds.
pub(super) fn on_head_read(
    state: &mut RouterState,
    now: Millis,
    asked_at: Millis,
    entries: &[StoreEntry],
    out: &mut Vec<Effect>,
) {
    let entry = entries.iter().find(|e| e.key == Keys::HEAD);
    let head = entry
        .and_then(|e| serde_json::from_str::<Head>(&e.value).ok())
        .unwrap_or_default();
    let number = head.number;
    if let Some(entry) = entry {
        on_head(state, now, head, entry.revision, out);
    }
    if number == state.number() {
        record_proof(state, asked_at);
    }
}

/// A head was seen in the service.
pub(super) fn on_head(
    state: &mut RouterState,
    now: Millis,
    head: Head,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    if head.number < state.head.head.number {
        if revision > state.head.revision {
            let note = Note::new(NoteCode::HeadWentBack)
                .with("found", head.number)
                .with("in_force", state.number());
            out.push(Effect::Note(note));
        }
        return;
    }
    let number = head.number;
    state.head.head = head;
    state.head.revision = state.head.revision.max(revision);
    if number <= state.number() {
        return;
    }
    match state.fleet.bundles.get(&number) {
        Some((bundle, _)) => adopt(state, now, bundle.clone(), out),
        None => fleet::start_read(state, out),
    }
}

/// Puts a bundle in force, if it is newer; an older one never comes back.
pub(super) fn adopt(
    state: &mut RouterState,
    now: Millis,
    bundle: Arc<Bundle>,
    out: &mut Vec<Effect>,
) {
    if bundle.number <= state.number() {
        return;
    }
    let note = Note::new(NoteCode::BundleInForce).with("bundle", bundle.number);
    out.push(Effect::Note(note));
    state.head.bundle = Some(bundle);
    state.head.proven_at = None;
    state.head.prove_at = now;
    state.head.ask_at = now;
    agents::broadcast_brief(state, out);
}
