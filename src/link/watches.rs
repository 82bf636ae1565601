//! Watches of keys in the store: all keys of a prefix are read once, then their changes.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::backlog::has_backlog;
use super::endpoint_calls::{log_invalid, log_unread};
use super::operator_keys;
use super::shared::{ListSource, Shared};
use super::store::{read_all, send_call, PrefixEntries};
use super::store_use::StoreUse;
use super::WatchResult;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::router::{StoreChange, StoreEntry};
use crate::types::{Millis, StorePosition};

/// How a prefix is watched.
#[derive(Clone, Copy)]
pub(crate) struct WatchPace {
    /// How long the store may hold a watch call without changes, in milliseconds.
    pub wait_ms: u64,
    /// Pause after an answer with changes, so that the next one brings several together.
    pub min_pause: Duration,
    /// What is watched.
    pub target: WatchTarget,
}

/// What is watched. Updates of the planner can replace watches of the routing and the list.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum WatchTarget {
    /// The operators' routing.
    Routing,
    /// The endpoint list, and the longest pause between two calls for its changes.
    List(Duration),
    /// The routers' own keys.
    Own,
}

impl WatchTarget {
    fn store_use(self) -> StoreUse {
        match self {
            WatchTarget::Routing => StoreUse::Routing,
            WatchTarget::List(_) => StoreUse::List,
            WatchTarget::Own => StoreUse::Own,
        }
    }
}

/// Where a complete reading of a prefix came from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadFrom {
    /// The store, just now.
    Store,
    /// Another router, which may have read it some time ago.
    Router,
}

/// Longest time that the store may hold watch calls of the planner. The planner sends what it
/// has read to all other routers with its age, and each answer resets that age.
const PLANNER_WAIT_MS: u64 = 500;

/// Longest time that the store may hold calls whose answer is needed at once: trial calls, for which
/// all other calls wait, and requested reads of the routing.
const SHORT_WAIT_MS: u64 = 1;

/// Time from the start of the process for which the routers' own keys are read more often, and the
/// pause meanwhile: routers that start together have to know each other before they compete for the
/// planner lease and read the endpoint list.
const START_MS: Millis = 500;
const START_PAUSE: Duration = Duration::from_millis(40);

/// Longest wait for the next suspension of the routing's watch.
const MAX_HOLD_WAIT: Duration = Duration::from_millis(600);

/// Time for the answer of a watch call beyond the time for which the store may hold it.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// Watches a prefix until the process ends: passes all its entries to `on_entries`, then changes
/// to `on_changes`, and begins again when the changes can't be followed any further.
pub(super) async fn follow(
    shared: Rc<Shared>,
    prefix: &'static str,
    pace: WatchPace,
    mut on_entries: impl FnMut(PrefixEntries, ReadFrom),
    mut on_changes: impl FnMut(StorePosition, Vec<StoreChange>),
) {
    let is_list = matches!(pace.target, WatchTarget::List(_));
    if is_list {
        // The reducer decides where a starting router gets the list from.
        shared.list_restart.notified().await;
    }
    // Whether the watch has ended because it was suspended for a while.
    let mut was_held = false;
    loop {
        let read_number = shared.routing_reads.get();
        let source = if is_list {
            shared.list_source.take()
        } else {
            None
        };
        let fetched = if was_held {
            operator_keys::fetch(&shared).await
        } else {
            None
        };
        let at = if let Some(ListSource::Snapshot(at)) = source {
            at
        } else if let Some(keys) = fetched {
            let at = keys.position;
            on_entries(keys, ReadFrom::Router);
            at
        } else {
            let Some(read) = read_all(&shared, prefix).await else {
                // After a failed call the gate delays the next one; after an invalid answer this
                // pause does.
                sleep(pace.min_pause).await;
                continue;
            };
            let at = read.position;
            on_entries(read, ReadFrom::Store);
            send_routing_checked(&shared, pace, read_number);
            at
        };
        if was_held {
            wait_for_hold(&shared).await;
        }
        let watching = follow_changes(&shared, prefix, pace, at, &mut on_changes);
        if is_list {
            // The reducer may request that the list is read in full again.
            let is_lost = tokio::select! {
                _ = watching => true,
                () = shared.list_restart.notified() => false,
            };
            if is_lost && shared.list_pace.get() != ListPace::Fast {
                shared.send_direct(DirectEvent::ListLost);
                shared.list_restart.notified().await;
            }
        } else {
            was_held = watching.await == WatchEnd::Held;
        }
    }
}

/// Why a watch has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum WatchEnd {
    /// The changes can't be followed any further.
    Lost,
    /// It was suspended while digests told of the routing. A reading of all keys shows what has
    /// changed, also where the store no longer keeps the changes.
    Held,
}

/// Waits until the watch of the routing is suspended again, which the planner's next digest does
/// if it tells of the version that was just read. The bound is somewhat longer than the time between
/// two digests.
async fn wait_for_hold(shared: &Shared) {
    let held = async {
        while !shared.routing_held.get() {
            shared.pace_changed.notified().await;
        }
    };
    let _ = timeout(MAX_HOLD_WAIT, held).await;
}

/// Reports changes after a position until the store no longer keeps them or was restored from a
/// backup, or until the watch goes on after it was suspended. A revision of another era is no
/// position to continue from, although the restored store may assign the same number again.
pub(super) async fn follow_changes(
    shared: &Shared,
    prefix: &str,
    pace: WatchPace,
    mut at: StorePosition,
    on_changes: &mut impl FnMut(StorePosition, Vec<StoreChange>),
) -> WatchEnd {
    let host = shared.store.to_string();
    let mut before = 0;
    // Number of the last requested read of the routing that has been made.
    let mut completed = 0;
    loop {
        let was_held = wait_while_held(shared, pace, &mut at).await;
        if was_held && pace.target == WatchTarget::Routing {
            return WatchEnd::Held;
        }
        let permit = shared.gate.acquire().await;
        if !shared.is_current_era(at.era) {
            return WatchEnd::Lost;
        }
        let read_number = shared.routing_reads.get();
        let wait_ms = if permit.is_trial
            || (pace.target == WatchTarget::Routing && read_number > completed)
        {
            SHORT_WAIT_MS
        } else {
            wait_ms(shared, pace)
        };
        let max_time = Duration::from_millis(wait_ms) + ANSWER_MARGIN;
        let request = (shared.adapter.build_watch)(&host, prefix, at.revision, wait_ms);
        let answer = tokio::select! {
            answer = send_call(shared, pace.target.store_use(), permit, request, max_time) => answer,
            () = shared.wait_era_end(at.era) => return WatchEnd::Lost,
            // The answer of this call may be old by now, so it is sent again.
            () = shared.watch_restart.notified() => continue,
        };
        if !shared.is_current_era(at.era) {
            return WatchEnd::Lost;
        }
        let watched = answer.map_or(WatchResult::NoAnswer, |(status, body)| {
            (shared.adapter.parse_watch)(status, &body).unwrap_or_else(|why| {
                log_invalid(prefix, "the store", &why);
                WatchResult::NoAnswer
            })
        });
        match watched {
            WatchResult::Changes {
                revision,
                changes,
                unread,
            } => {
                log_unread(prefix, &unread);
                at.revision = revision;
                let count = changes.len();
                on_changes(at, changes);
                completed = read_number;
                send_routing_checked(shared, pace, read_number);
                if count > 0 {
                    pause_after_changes(shared, pace, has_backlog(count, before)).await;
                }
                before = count;
            }
            // Without the pause, a store that drops changes at once would be read in a busy loop.
            WatchResult::Compacted => {
                sleep(pace.min_pause).await;
                return WatchEnd::Lost;
            }
            // After a failed call the gate delays the next one; after an invalid answer this
            // pause does.
            WatchResult::NoAnswer => sleep(pace.min_pause).await,
        }
    }
}

/// Reports that the routing was read by a call that began after this read was requested.
fn send_routing_checked(shared: &Shared, pace: WatchPace, read_number: u64) {
    if pace.target == WatchTarget::Routing {
        shared.send_direct(DirectEvent::RoutingChecked { read_number });
    }
}

/// Waits while updates of the planner replace this watch; returns whether they did.
async fn wait_while_held(shared: &Shared, pace: WatchPace, at: &mut StorePosition) -> bool {
    let mut waited = false;
    loop {
        let changed = shared.pace_changed.notified();
        let held = match pace.target {
            WatchTarget::Routing => shared.routing_held.get(),
            WatchTarget::List(_) => shared.list_pace.get() == ListPace::Paused,
            WatchTarget::Own => false,
        };
        if !held || !shared.is_current_era(at.era) {
            break;
        }
        waited = true;
        changed.await;
    }
    let is_list = matches!(pace.target, WatchTarget::List(_));
    if !waited || !is_list {
        return waited;
    }
    // Changes up to this position came from the planner and aren't read; the reducer knows that
    // its list is incomplete then.
    let known = shared.known_upto.get();
    if known.era == at.era {
        at.revision = known.revision.max(at.revision);
    }
    if shared.list_pace.get() != ListPace::Fast {
        // The planner's updates end for all routers at the same time: their calls are spread.
        sleep(shared.min_pause().mul_f64(fastrand::f64())).await;
    }
    waited
}

/// How long the store may hold the next watch call, in milliseconds.
fn wait_ms(shared: &Shared, pace: WatchPace) -> u64 {
    let is_planner = shared.list_pace.get() == ListPace::Fast;
    match pace.target {
        WatchTarget::Routing | WatchTarget::List(_) if is_planner => {
            pace.wait_ms.min(PLANNER_WAIT_MS)
        }
        _ => pace.wait_ms,
    }
}

/// Pauses after an answer with changes, for the shortest time if the store has `more` of them.
async fn pause_after_changes(shared: &Shared, pace: WatchPace, more: bool) {
    let is_starting = shared.clock.now() < START_MS && pace.target == WatchTarget::Own;
    let min_pause = if is_starting {
        START_PAUSE
    } else {
        pace.min_pause.max(shared.min_pause())
    };
    sleep(min_pause).await;
    let WatchTarget::List(max_pause) = pace.target else {
        return;
    };
    if shared.list_pace.get() == ListPace::Fast || more {
        return;
    }
    if let Some(left) = max_pause.checked_sub(min_pause) {
        // Ends early when the pace of reading the list changes.
        let _ = timeout(left, shared.pace_changed.notified()).await;
    }
}

/// The entry that a change leaves; none for a removed key.
pub(super) fn as_entry(change: &StoreChange) -> Option<StoreEntry> {
    Some(StoreEntry {
        key: change.key.clone(),
        value: change.value.clone()?,
        revision: change.revision,
    })
}
