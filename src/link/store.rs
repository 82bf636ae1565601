//! Calls to the store.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use super::looks::{unread, whole};
use super::shared::Shared;
use super::Page;
use crate::logic::router::{CallId, StoreCall, StoreFault, StoreReply, StoreResult};
use crate::logic::Event;

/// Longest time for a call.
const CALL: Duration = Duration::from_millis(1_000);

/// Longest answer, in bytes.
pub(super) const LIMIT: usize = 64 * 1024 * 1024;

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
    let request = (shared.dialect.call)(&shared.store.to_string(), op);
    match timeout(CALL, whole(shared, shared.store, request, LIMIT)).await {
        Ok(Ok((status, body))) => {
            (shared.dialect.reply_of)(op, status, &body).unwrap_or_else(|why| {
                unread("an answer", "the store", &why);
                Err(StoreFault)
            })
        }
        // No answer, or one that broke off: the reducer counts the call as failed.
        _ => Err(StoreFault),
    }
}

/// Reads every key with a prefix, page by page; the revision is the first page's.
pub(super) async fn read_all(shared: &Shared, prefix: &str) -> Option<Page> {
    let host = shared.store.to_string();
    let mut all = Page::default();
    for n in 0..PAGES {
        let after = all.entries.last().map(|e| e.key.clone());
        let request = (shared.dialect.page)(&host, prefix, after.as_deref());
        let answer = timeout(CALL, whole(shared, shared.store, request, LIMIT)).await;
        let (status, body) = answer.ok()?.ok()?;
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
