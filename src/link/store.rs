//! Calls to the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use super::call_use::CallUse;
use super::endpoint_calls::{call_options, fetch, log_invalid, log_unread};
use super::page_timeout;
use super::shared::Shared;
use super::store_gate::Permit;
use super::store_use::StoreUse;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::router::{CallId, StoreCall, StoreEntry, StoreFault, StoreReply, StoreResult};
use crate::logic::Event;
use crate::types::StorePosition;

/// Longest time for one attempt of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Status of a store that takes no calls at present.
const UNAVAILABLE: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Status of a store that takes no more calls in this second. A store may also reject a router
/// permanently with it, so a rejection that persists counts as a failure: 18 routers that
/// treated it as temporary made 1,000 calls a second.
const RATE_LIMITED: StatusCode = StatusCode::TOO_MANY_REQUESTS;

/// Retries of a rate-limited call, and the longest pause before each, to which
/// [`Shared::min_pause`] is added: 300 routers that read a list of 3,000 endpoints at once use
/// up all calls of a store of 2,000 calls a second for two seconds.
const MAX_RATE_RETRIES: u32 = 8;
const RATE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Failed page calls after which a read in pages is given up.
const MAX_PAGE_FAILURES: u32 = 5;

/// Starts a call; its result goes to the reducer.
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
        let read = read_all(shared, key).await.ok_or(StoreFault)?;
        return Ok(StoreReply::Entries {
            revision: read.position.revision,
            entries: read.entries,
        });
    }
    let store_use = match op {
        StoreCall::Read { .. } => StoreUse::Whole,
        StoreCall::Renew { .. } => StoreUse::Renew,
        _ => StoreUse::Write,
    };
    let is_planner = shared.list_pace.get() == ListPace::Fast;
    let permit = if is_planner && store_use == StoreUse::Renew {
        shared.gate.permit(false)
    } else {
        shared.gate.acquire().await
    };
    let request = (shared.adapter.build_call)(&shared.store.to_string(), op);
    let (status, body) = send_call(shared, store_use, permit, request, CALL_TIMEOUT)
        .await
        .ok_or(StoreFault)?;
    (shared.adapter.parse_call)(op, status, &body).unwrap_or_else(|why| {
        log_invalid("an answer", "the store", &why);
        Err(StoreFault)
    })
}

/// Sends a call, again while it is rate-limited, and reports its result to the gate, which logs
/// a loss of the store. Returns nothing if the store doesn't answer an attempt within `max_time`,
/// rejects the call, or answers from an era that is over.
pub(super) async fn send_call(
    shared: &Shared,
    store_use: StoreUse,
    permit: Permit<'_>,
    request: Request<Full<Bytes>>,
    max_time: Duration,
) -> Option<(StatusCode, Bytes)> {
    let retries = if permit.is_trial { 0 } else { MAX_RATE_RETRIES };
    let mut answer = send_once(shared, store_use, request.clone(), max_time).await;
    for _ in 0..retries {
        if answer.as_ref().is_none_or(|(s, _)| *s != RATE_LIMITED) {
            break;
        }
        let max_pause = RATE_RETRY_PAUSE + shared.min_pause();
        sleep(max_pause.mul_f64(fastrand::f64())).await;
        answer = send_once(shared, store_use, request.clone(), max_time).await;
    }
    let answer = answer.filter(|(s, _)| !is_rejection(*s));
    if permit.end(answer.is_some(), shared.routers.get()) {
        shared.send_direct(DirectEvent::StoreBack);
    }
    answer
}

/// Whether the store rejects a call with this status.
fn is_rejection(status: StatusCode) -> bool {
    status == UNAVAILABLE || status == RATE_LIMITED
}

/// Updates the store's era from an answer; returns false if the answer is of an era that is
/// over. An invalid era is logged and taken as the one known so far.
fn update_era(shared: &Shared, headers: &HeaderMap) -> bool {
    let named = (shared.adapter.parse_era)(headers).unwrap_or_else(|why| {
        log_invalid("an answer", "the store", &why);
        shared.era.get()
    });
    // A store that is never restored from a backup may name no era.
    let era = named.unwrap_or(0);
    let known = shared.era.get();
    if known.is_none_or(|known| era > known) {
        shared.enter_era(era);
    }
    known.is_none_or(|known| era >= known)
}

/// Sends a call once and counts it by its outcome.
async fn send_once(
    shared: &Shared,
    store_use: StoreUse,
    request: Request<Full<Bytes>>,
    max_time: Duration,
) -> Option<(StatusCode, Bytes)> {
    let answer = timeout(
        max_time,
        fetch(
            shared,
            shared.store,
            request,
            MAX_ANSWER_BYTES,
            call_options(CallUse::Store),
        ),
    )
    .await;
    let answer = answer.ok().and_then(Result::ok);
    let answer = answer.filter(|a| is_rejection(a.status()) || update_era(shared, a.headers()));
    let answer = answer.map(|a| (a.status(), a.into_body()));
    let outcome = match &answer {
        None => "unanswered",
        Some((UNAVAILABLE, _)) => "turned_away",
        Some((RATE_LIMITED, _)) => "crowded",
        Some(_) => "answered",
    };
    let mut calls = shared.calls.borrow_mut();
    *calls.entry((store_use.name(), outcome)).or_default() += 1;
    answer
}

/// All keys with a prefix.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(super) struct PrefixEntries {
    /// Position of the store at the first page; changes after it have to be followed.
    pub position: StorePosition,
    /// Keys and values.
    pub entries: Vec<StoreEntry>,
}

/// Reads every key with a prefix, page by page. Returns nothing if too many page calls fail, a
/// page is invalid, or the store was restored from a backup between two pages.
pub(super) async fn read_all(shared: &Shared, prefix: &str) -> Option<PrefixEntries> {
    let host = shared.store.to_string();
    let mut all = PrefixEntries::default();
    let mut failures = 0u32;
    while failures < MAX_PAGE_FAILURES {
        let after = all.entries.last().map(|e| e.key.clone());
        let request = (shared.adapter.build_page)(&host, prefix, after.as_deref());
        let permit = shared.gate.acquire().await;
        let answer = send_call(
            shared,
            StoreUse::Whole,
            permit,
            request,
            page_timeout(failures),
        )
        .await;
        let Some((status, body)) = answer else {
            // The same page is requested again; earlier pages are kept.
            failures += 1;
            continue;
        };
        let page = (shared.adapter.parse_page)(status, &body).unwrap_or_else(|why| {
            log_invalid(prefix, "the store", &why);
            None
        })?;
        if all.entries.is_empty() {
            all.position = shared.position(page.revision);
        } else if !shared.is_current_era(all.position.era) {
            return None;
        }
        log_unread(prefix, &page.unread);
        let empty = page.entries.is_empty();
        all.entries.extend(page.entries);
        if !page.more || empty {
            return Some(all);
        }
    }
    None
}
