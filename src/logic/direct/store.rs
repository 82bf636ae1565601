//! What a store that has come back from an older copy means for what this router knows.
//!
//! Leases and keys of the routers that were written since the copy are gone, and lease
//! numbers and revisions are given out again, so nothing that was read or held before
//! stands. The routing in force stays: operators write theirs again.

use super::{crashes, plan, DirectState, Presence};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// The store is in an era that is new to this router.
pub(super) fn entered(state: &mut DirectState, now: Millis, era: u64, out: &mut Vec<Effect>) {
    let Some(before) = state.store_era.replace(era) else {
        return;
    };
    let note = Note::new(NoteCode::StoreRestored)
        .with("era", era)
        .with("before", before)
        .with("listed_upto", state.listed_at.revision);
    out.push(Effect::Note(note));
    state.presence = Presence::default();
    let digests = &mut state.digests;
    digests.pending.clear();
    digests.recent.clear();
    digests.list_until = 0;
    digests.routing_until = 0;
    crashes::restored(state, now);
    plan::on_store_restored(state, now, out);
}
