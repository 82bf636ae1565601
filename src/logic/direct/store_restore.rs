//! What a router does after the store was restored from a backup.
//!
//! Leases and keys that routers wrote after the backup are gone, and lease numbers and
//! revisions are assigned again, so nothing that was read or held before is valid. The
//! routing in force stays: operators write theirs again.

use super::{crashes, plan, DirectState, Registration};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Time within which operators and endpoints write again what a store that was restored from a
/// backup has lost.
pub(super) const REWRITE_MS: Millis = 2_000;

/// Handles the store's era; if the store was restored, forgets what no longer holds.
pub(super) fn on_store_era(state: &mut DirectState, now: Millis, era: u64, out: &mut Vec<Effect>) {
    let Some(before) = state.store_era.replace(era) else {
        return;
    };
    let event = LogEvent::new(LogCode::StoreRestored)
        .with("era", era)
        .with("before", before)
        .with("listed_upto", state.listed_at.revision);
    out.push(Effect::Log(event));
    state.registration = Registration::default();
    let digests = &mut state.digests;
    digests.pending.clear();
    digests.recent.clear();
    digests.list_until = 0;
    digests.routing_until = 0;
    crashes::on_store_restored(state, now);
    plan::on_store_restored(state, now, out);
}
