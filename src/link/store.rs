//! Calls to the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use tokio::time::{sleep, timeout};

use super::looks::{unread, whole};
use super::page_time;
use super::shared::Shared;
use super::store_gate::Pass;
use super::store_use::StoreUse;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::router::{CallId, StoreCall, StoreEntry, StoreFault, StoreReply, StoreResult};
use crate::logic::Event;
use crate::types::StorePosition;

/// Longest time for a call.
const CALL: Duration = Duration::from_millis(1_000);

/// Answer by which a store says that it takes no calls now.
const AWAY: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Answer by which it says that it takes no more calls in this second. A store may also
/// turn a router away for good with it, so that one which stays is a loss like any other:
/// 18 routers that took it for passing made 1,000 calls a second.
const CROWDED: StatusCode = StatusCode::TOO_MANY_REQUESTS;

/// Times that a call is made again for that, and the longest pause before each, beside the
/// one by the number of routers: 300 routers that read a list of 3,000 at once take a
/// store of 2,000 calls a second for two seconds.
const CROWDED_TRIES: u32 = 8;
const CROWDED_PAUSE: Duration = Duration::from_millis(50);

/// Longest answer, in bytes.
const LIMIT: usize = 64 * 1024 * 1024;

/// Failures of pages after which a reading begins anew.
const PAGE_FAILURES: u32 = 5;

/// Makes a call and tells the reducer what came of it.
pub(super) fn start(shared: &Rc<Shared>, call: CallId, op: StoreCall) {
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        let result = carry_out(&shared, &op).await;
        shared.send(super::link_event::LinkEvent::Step(Event::Store {
            call,
            result,
        }));
    });
}

async fn carry_out(shared: &Shared, op: &StoreCall) -> StoreResult {
    if let StoreCall::Read { key, prefix: true } = op {
        let reading = read_all(shared, key).await.ok_or(StoreFault)?;
        return Ok(StoreReply::Entries {
            revision: reading.at.revision,
            entries: reading.entries,
        });
    }
    let what = match op {
        StoreCall::Read { .. } => StoreUse::Whole,
        StoreCall::Renew { .. } => StoreUse::Renew,
        _ => StoreUse::Write,
    };
    let plans = shared.list_pace.get() == ListPace::Often;
    let pass = if plans && what == StoreUse::Renew {
        shared.gate.leave(false)
    } else {
        shared.gate.pass().await
    };
    let request = (shared.dialect.call)(&shared.store.to_string(), op);
    let (status, body) = ask(shared, what, pass, request, CALL)
        .await
        .ok_or(StoreFault)?;
    (shared.dialect.reply_of)(op, status, &body).unwrap_or_else(|why| {
        unread("an answer", "the store", &why);
        Err(StoreFault)
    })
}

/// Makes one call and counts it. Nothing comes back where the store doesn't answer within
/// `longest` or turns the call away: the gate knows then, and logs what lasts.
pub(super) async fn ask(
    shared: &Shared,
    what: StoreUse,
    pass: Pass<'_>,
    request: Request<Full<Bytes>>,
    longest: Duration,
) -> Option<(StatusCode, Bytes)> {
    let tries = if pass.tries { 0 } else { CROWDED_TRIES };
    let mut answer = once(shared, what, request.clone(), longest).await;
    for _ in 0..tries {
        if answer.as_ref().is_none_or(|(s, _)| *s != CROWDED) {
            break;
        }
        let most = CROWDED_PAUSE + shared.spread();
        sleep(most.mul_f64(fastrand::f64())).await;
        answer = once(shared, what, request.clone(), longest).await;
    }
    let answer = answer.filter(|(s, _)| !is_away(*s));
    if pass.end(answer.is_some(), shared.routers.get()) {
        shared.tell(DirectEvent::StoreBack);
    }
    answer
}

/// Whether the store has turned a call away with this.
fn is_away(status: StatusCode) -> bool {
    status == AWAY || status == CROWDED
}

/// Takes in the era that an answer names; false where that is over. One that can't be read
/// is told and taken for the era known so far.
fn in_era(shared: &Shared, headers: &HeaderMap) -> bool {
    let named = (shared.dialect.store_era)(headers).unwrap_or_else(|why| {
        unread("an answer", "the store", &why);
        shared.era.get()
    });
    // A store that never goes back may name no era.
    let era = named.unwrap_or(0);
    let known = shared.era.get();
    if known.is_none_or(|known| era > known) {
        shared.enter_era(era);
    }
    known.is_none_or(|known| era >= known)
}

/// Sends one call and counts it by what came of it.
async fn once(
    shared: &Shared,
    what: StoreUse,
    request: Request<Full<Bytes>>,
    longest: Duration,
) -> Option<(StatusCode, Bytes)> {
    let answer = timeout(longest, whole(shared, shared.store, request, LIMIT)).await;
    let answer = answer.ok().and_then(Result::ok);
    let answer = answer.filter(|a| is_away(a.status()) || in_era(shared, a.headers()));
    let answer = answer.map(|a| (a.status(), a.into_body()));
    let outcome = match &answer {
        None => "unanswered",
        Some((AWAY, _)) => "turned_away",
        Some((CROWDED, _)) => "crowded",
        Some(_) => "answered",
    };
    let mut calls = shared.calls.borrow_mut();
    *calls.entry((what.name(), outcome)).or_default() += 1;
    answer
}

/// All keys with a prefix, as of one position.
#[derive(Default)]
pub(super) struct Reading {
    /// Where the reading began.
    pub at: StorePosition,
    /// Keys and values.
    pub entries: Vec<StoreEntry>,
}

/// Reads every key with a prefix, page by page; its position is the first page's. None
/// where the store fails, or comes back from a copy between two pages.
pub(super) async fn read_all(shared: &Shared, prefix: &str) -> Option<Reading> {
    let host = shared.store.to_string();
    let mut all = Reading::default();
    let mut failures = 0u32;
    while failures < PAGE_FAILURES {
        let after = all.entries.last().map(|e| e.key.clone());
        let request = (shared.dialect.page)(&host, prefix, after.as_deref());
        let pass = shared.gate.pass().await;
        let answer = ask(shared, StoreUse::Whole, pass, request, page_time(failures)).await;
        let Some((status, body)) = answer else {
            // What has been read so far needn't be read again.
            failures += 1;
            continue;
        };
        let page = (shared.dialect.paged)(status, &body).unwrap_or_else(|why| {
            unread(prefix, "the store", &why);
            None
        })?;
        if all.entries.is_empty() {
            all.at = shared.position(page.revision);
        } else if !shared.is_era(all.at.era) {
            return None;
        }
        let empty = page.entries.is_empty();
        all.entries.extend(page.entries);
        if !page.more || empty {
            return Some(all);
        }
    }
    None
}
