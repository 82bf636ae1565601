//! Calls to the store.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time::timeout;

use super::looks::{unread, whole};
use super::shared::Shared;
use super::store_gate::Pass;
use super::store_use::StoreUse;
use super::Page;
use crate::logic::direct::{DirectEvent, ListPace};
use crate::logic::router::{CallId, StoreCall, StoreFault, StoreReply, StoreResult};
use crate::logic::Event;

/// Longest time for a call.
const CALL: Duration = Duration::from_millis(1_000);

/// Answers by which a store says that it takes no calls now, or not so many.
const TURNED_AWAY: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Longest answer, in bytes.
const LIMIT: usize = 64 * 1024 * 1024;

/// Most pages of one reading.
const PAGES: usize = 10_000;

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
        let page = read_all(shared, key).await.ok_or(StoreFault)?;
        return Ok(StoreReply::Entries {
            revision: page.revision,
            entries: page.entries,
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
    let answer = timeout(longest, whole(shared, shared.store, request, LIMIT)).await;
    let answer = answer.ok().and_then(Result::ok);
    let away = |s: StatusCode| TURNED_AWAY.contains(&s);
    let outcome = match &answer {
        None => "unanswered",
        Some((status, _)) if away(*status) => "turned_away",
        Some(_) => "answered",
    };
    let mut calls = shared.calls.borrow_mut();
    *calls.entry((what.name(), outcome)).or_default() += 1;
    drop(calls);
    let answer = answer.filter(|(status, _)| !away(*status));
    if pass.end(answer.is_some(), shared.routers.get()) {
        shared.tell(DirectEvent::StoreBack);
    }
    answer
}

/// Reads every key with a prefix, page by page; the revision is the first page's.
pub(super) async fn read_all(shared: &Shared, prefix: &str) -> Option<Page> {
    let host = shared.store.to_string();
    let mut all = Page::default();
    for n in 0..PAGES {
        let after = all.entries.last().map(|e| e.key.clone());
        let request = (shared.dialect.page)(&host, prefix, after.as_deref());
        let pass = shared.gate.pass().await;
        let (status, body) = ask(shared, StoreUse::Whole, pass, request, CALL).await?;
        let page = (shared.dialect.paged)(status, &body).unwrap_or_else(|why| {
            unread(prefix, "the store", &why);
            None
        })?;
        if n == 0 {
            all.revision = page.revision;
        }
        let empty = page.entries.is_empty();
        all.entries.extend(page.entries);
        if !page.more || empty {
            return Some(all);
        }
    }
    None
}
