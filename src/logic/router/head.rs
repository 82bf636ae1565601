use std::sync::Arc;

use super::{agents, fleet, CallPurpose, Keys, RouterState, StoreCall, StoreEntry};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Bundle, Head, Millis};

/// Which bundle is in force at a router, and when it was last proved to be the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HeadView {
    /// The bundle in force.
    pub bundle: Option<Arc<Bundle>>,
    /// Newest head seen in the key-value service, which may be ahead of the bundle in force.
    pub head: Head,
    /// Revision of that head.
    pub revision: i64,
    /// Time up to which the bundle in force is known to have been the newest.
    pub proven_at: Option<Millis>,
    /// When the head is read next from the key-value service.
    pub read_at: Millis,
    /// When other routers are asked next.
    pub query_at: Millis,
    /// Whether the proof was recent enough at the last check, to log changes.
    pub was_proven: bool,
}

/// Whether new work may be taken: the last proof that the bundle in force is the newest is less
/// than `proof_ms` old.
pub(super) fn is_proven(state: &RouterState, now: Millis) -> bool {
    if !state.rules.head_proof {
        return true;
    }
    let limit = state.params.proof_ms;
    state.head.proven_at.is_some_and(|at| now < at + limit)
}

/// Records a proof that the bundle in force was the newest at time `at`.
pub(super) fn record_proof(state: &mut RouterState, at: Millis) {
    let before = state.head.proven_at.unwrap_or(0);
    state.head.proven_at = Some(before.max(at));
}

/// Reads the head from the key-value service when that is due.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    log_proof_change(state, now, out);
    if now < state.head.read_at {
        return;
    }
    state.head.read_at = now + state.params.prove_ms;
    if state.has_call(|p| matches!(p, CallPurpose::ProveHead(_))) {
        return;
    }
    let op = StoreCall::Read {
        key: Keys::HEAD.to_string(),
        prefix: false,
    };
    state.call_store(CallPurpose::ProveHead(now), op, out);
}

/// Logs when the proof has become too old or recent enough again.
fn log_proof_change(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let proven = is_proven(state, now);
    if proven == state.head.was_proven {
        return;
    }
    state.head.was_proven = proven;
    let code = if proven {
        LogCode::HeadProven
    } else {
        LogCode::HeadUnproven
    };
    out.push(Effect::Log(
        LogEvent::new(code).with("bundle", state.bundle_number()),
    ));
}

/// Handles a read of the head. If the bundle in force is the one read, it was the newest at the
/// time of the call.
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
    if number == state.bundle_number() {
        record_proof(state, asked_at);
    }
}

/// Handles a head that was read from the key-value service or written to it.
///
/// A newer one is put in force; its bundle is read first if it isn't known.
pub(super) fn on_head(
    state: &mut RouterState,
    now: Millis,
    head: Head,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    if head.number < state.head.head.number {
        if revision > state.head.revision {
            let event = LogEvent::new(LogCode::HeadWentBack)
                .with("found", head.number)
                .with("in_force", state.bundle_number());
            out.push(Effect::Log(event));
        }
        return;
    }
    let number = head.number;
    state.head.head = head;
    state.head.revision = state.head.revision.max(revision);
    if number <= state.bundle_number() {
        return;
    }
    match state.fleet.bundles.get(&number) {
        Some((bundle, _)) => adopt(state, now, bundle.clone(), out),
        None => fleet::start_read(state, out),
    }
}

/// Puts a bundle in force if it is newer than the present one; the number never decreases.
pub(super) fn adopt(
    state: &mut RouterState,
    now: Millis,
    bundle: Arc<Bundle>,
    out: &mut Vec<Effect>,
) {
    if bundle.number <= state.bundle_number() {
        return;
    }
    let event = LogEvent::new(LogCode::BundleInForce).with("bundle", bundle.number);
    out.push(Effect::Log(event));
    state.head.bundle = Some(bundle);
    state.head.proven_at = None;
    state.head.read_at = now;
    state.head.query_at = now;
    agents::broadcast_brief(state, out);
}
