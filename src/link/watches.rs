//! Watches over the store: read whole once, then changes as they come.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::looks::{unread, whole};
use super::shared::Shared;
use super::store::{read_all, LIMIT};
use super::{Page, Watched};
use crate::logic::router::{StoreChange, StoreEntry};

/// How a prefix is watched.
#[derive(Clone, Copy)]
pub(crate) struct WatchPace {
    /// How long the store may hold a watch back, in milliseconds.
    pub wait_ms: u64,
    /// Pause after changes, so that many come at once.
    pub pause: Duration,
    /// The pause while the reducer wants this prefix read only now and then.
    pub rest: Option<Duration>,
}

/// Pause after a call that failed.
const AGAIN: Duration = Duration::from_millis(150);

/// What a watch may take beyond its waiting time.
const SLACK: Duration = Duration::from_millis(500);

/// Watches a prefix for ever.
pub(super) async fn follow(
    shared: Rc<Shared>,
    prefix: &'static str,
    pace: WatchPace,
    mut all: impl FnMut(Page),
    mut changed: impl FnMut(i64, Vec<StoreChange>),
) {
    loop {
        let Some(page) = read_all(&shared, prefix).await else {
            sleep(AGAIN).await;
            continue;
        };
        let revision = page.revision;
        all(page);
        let follow = changes(&shared, prefix, pace, revision, &mut changed);
        if pace.rest.is_some() {
            // Only the list rests, and only the list may be wanted whole.
            tokio::select! {
                () = follow => {}
                () = shared.list_anew.notified() => {}
            }
        } else {
            follow.await;
        }
    }
}

/// Reports changes behind a revision until the store has forgotten them.
pub(super) async fn changes(
    shared: &Shared,
    prefix: &str,
    pace: WatchPace,
    mut revision: i64,
    changed: &mut impl FnMut(i64, Vec<StoreChange>),
) {
    let host = shared.store.to_string();
    let longest = Duration::from_millis(pace.wait_ms) + SLACK;
    loop {
        let request = (shared.dialect.watch)(&host, prefix, revision, pace.wait_ms);
        let answer = timeout(longest, whole(shared, shared.store, request, LIMIT)).await;
        let watched = match answer {
            Ok(Ok((status, body))) => {
                (shared.dialect.watched)(status, &body).unwrap_or_else(|why| {
                    unread(prefix, "the store", &why);
                    Watched::Fault
                })
            }
            _ => Watched::Fault,
        };
        match watched {
            Watched::Changes {
                revision: upto,
                changes,
            } => {
                revision = upto;
                let count = changes.len();
                changed(upto, changes);
                if count > 0 {
                    rest(shared, pace, count).await;
                }
            }
            Watched::Forgotten => return,
            Watched::Fault => sleep(AGAIN).await,
        }
    }
}

/// Changes in one answer from which on more are likely to wait.
const MANY: usize = 200;

/// Pauses between two readings of a watch; only shortly where many changes came.
async fn rest(shared: &Shared, pace: WatchPace, count: usize) {
    let (often, begin) = &shared.list_often;
    let shortest = pace.pause.max(shared.spread());
    sleep(shortest).await;
    let longer = pace.rest.filter(|_| !often.get() && count < MANY);
    if let Some(rest) = longer.and_then(|r| r.checked_sub(shortest)) {
        // Over either way: the pause has passed, or the list is wanted often.
        let _ = timeout(rest, begin.notified()).await;
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
