//! Watches over the store: read whole once, then changes as they come.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::backlog::more_wait;
use super::looks::unread;
use super::shared::Shared;
use super::store::{ask, read_all, Reading};
use super::store_use::StoreUse;
use super::Watched;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::router::{StoreChange, StoreEntry};
use crate::types::StorePosition;

/// How a prefix is watched.
#[derive(Clone, Copy)]
pub(crate) struct WatchPace {
    /// How long the store may hold a watch back, in milliseconds.
    pub wait_ms: u64,
    /// Pause after changes, so that many come at once.
    pub pause: Duration,
    /// What is watched.
    pub what: Watch,
}

/// What is watched, and so what the planner's word can stand in for.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Watch {
    /// The operators' routing.
    Routing,
    /// The list of endpoints, read once in this time at least.
    List(Duration),
    /// The routers' own keys.
    Own,
}

impl Watch {
    fn used(self) -> StoreUse {
        match self {
            Watch::Routing => StoreUse::Routing,
            Watch::List(_) => StoreUse::List,
            Watch::Own => StoreUse::Own,
        }
    }
}

/// Longest wait of the watches of the router that plans, in milliseconds. What it has
/// read is told to all others with its age, and each answer makes that young again.
const PLANNER_WAIT_MS: u64 = 500;

/// Wait of a watch on whose answer all other calls wait, in milliseconds.
const TRY_WAIT_MS: u64 = 1;

/// What a watch may take beyond its waiting time.
const SLACK: Duration = Duration::from_millis(500);

/// Watches a prefix for ever.
pub(super) async fn follow(
    shared: Rc<Shared>,
    prefix: &'static str,
    pace: WatchPace,
    mut all: impl FnMut(Reading),
    mut changed: impl FnMut(StorePosition, Vec<StoreChange>),
) {
    loop {
        let asked = shared.asked.get();
        let Some(reading) = read_all(&shared, prefix).await else {
            continue;
        };
        let at = reading.at;
        all(reading);
        checked(&shared, pace, asked);
        let follow = changes(&shared, prefix, pace, at, &mut changed);
        if matches!(pace.what, Watch::List(_)) {
            // Only the list may be wanted whole.
            tokio::select! {
                () = follow => {}
                () = shared.list_anew.notified() => {}
            }
        } else {
            follow.await;
        }
    }
}

/// Reports changes behind a position until the store has forgotten them, or has come back
/// from a copy: a revision of another era is no place to go on from, though the store may
/// have given it out again.
pub(super) async fn changes(
    shared: &Shared,
    prefix: &str,
    pace: WatchPace,
    mut at: StorePosition,
    changed: &mut impl FnMut(StorePosition, Vec<StoreChange>),
) {
    let host = shared.store.to_string();
    let mut before = 0;
    // The last reading that was asked for and has been made.
    let mut known = 0;
    loop {
        held(shared, pace, &mut at).await;
        let pass = shared.gate.pass().await;
        if !shared.is_era(at.era) {
            return;
        }
        let asked = shared.asked.get();
        let wait_ms = if pass.tries || (pace.what == Watch::Routing && asked > known) {
            TRY_WAIT_MS
        } else {
            wait_ms(shared, pace)
        };
        let longest = Duration::from_millis(wait_ms) + SLACK;
        let request = (shared.dialect.watch)(&host, prefix, at.revision, wait_ms);
        let answer = tokio::select! {
            answer = ask(shared, pace.what.used(), pass, request, longest) => answer,
            () = shared.another_era(at.era) => return,
            // What it waits for may be older than it looks: it is asked for anew.
            () = shared.woken.notified() => continue,
        };
        if !shared.is_era(at.era) {
            return;
        }
        let watched = answer.map_or(Watched::Fault, |(status, body)| {
            (shared.dialect.watched)(status, &body).unwrap_or_else(|why| {
                unread(prefix, "the store", &why);
                Watched::Fault
            })
        });
        match watched {
            Watched::Changes { revision, changes } => {
                at.revision = revision;
                let count = changes.len();
                changed(at, changes);
                known = asked;
                checked(shared, pace, asked);
                if count > 0 {
                    rest(shared, pace, more_wait(count, before)).await;
                }
                before = count;
            }
            // A store that forgets at once what it has just told would be read without end.
            Watched::Forgotten => return sleep(pace.pause).await,
            // The gate holds the next call back; what can't be read is asked for anew.
            Watched::Fault => sleep(pace.pause).await,
        }
    }
}

/// Tells that the routing has been read by a call that began after a reading was asked for.
fn checked(shared: &Shared, pace: WatchPace, asked: u64) {
    if pace.what == Watch::Routing {
        shared.tell(DirectEvent::RoutingChecked { asked });
    }
}

/// Waits for as long as the planner's word stands in for this watch.
async fn held(shared: &Shared, pace: WatchPace, at: &mut StorePosition) {
    let mut waited = false;
    loop {
        let changed = shared.pace_changed.notified();
        let held = match pace.what {
            Watch::Routing => shared.hold_routing.get(),
            Watch::List(_) => shared.list_pace.get() == ListPace::Told,
            Watch::Own => false,
        };
        if !held || !shared.is_era(at.era) {
            break;
        }
        waited = true;
        changed.await;
    }
    let list = matches!(pace.what, Watch::List(_));
    if !waited || !list {
        return;
    }
    // What was told need not be read; the reducer knows what it lacks then.
    let told = shared.told_upto.get();
    if told.era == at.era {
        at.revision = told.revision.max(at.revision);
    }
    if shared.list_pace.get() != ListPace::Often {
        // The planner's word has ended for all at once.
        sleep(shared.spread().mul_f64(fastrand::f64())).await;
    }
}

/// How long the store may hold the next call back.
fn wait_ms(shared: &Shared, pace: WatchPace) -> u64 {
    let plans = shared.list_pace.get() == ListPace::Often;
    match pace.what {
        Watch::Routing | Watch::List(_) if plans => pace.wait_ms.min(PLANNER_WAIT_MS),
        _ => pace.wait_ms,
    }
}

/// Pauses between two readings of a watch; only shortly where more changes wait.
async fn rest(shared: &Shared, pace: WatchPace, more: bool) {
    let shortest = pace.pause.max(shared.spread());
    sleep(shortest).await;
    let Watch::List(longest) = pace.what else {
        return;
    };
    if shared.list_pace.get() == ListPace::Often || more {
        return;
    }
    if let Some(left) = longest.checked_sub(shortest) {
        // Over either way: the time has passed, or the list is read at another pace.
        let _ = timeout(left, shared.pace_changed.notified()).await;
    }
}

/// Changes as entries: what was removed comes without a value.
pub(super) fn as_entry(change: &StoreChange) -> Option<StoreEntry> {
    Some(StoreEntry {
        key: change.key.clone(),
        value: change.value.clone()?,
        revision: change.revision,
    })
}
