//! Operators' keys, which routers send each other over HTTP in CBOR: a change costs the store one
//! call for each of the few routers that read it, however many there are.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::endpoint_calls::log_invalid;
use super::shared::Shared;
use super::snapshots::get;
use super::store::PrefixEntries;
use crate::logic::direct::KeysSource;
use crate::logic::router::{StoreChange, StoreEntry};
use crate::types::StorePosition;

/// Start of the path; the position up to which the keys have to reach follows: `ERA/REVISION`.
pub(super) const PATH: &str = "/operator-keys/";

/// Longest answer that is read.
const MAX_KEYS_BYTES: usize = 8 * 1024 * 1024;

/// Time for which another router is asked before the store is read. Operators publish a bound of 2 s
/// or more for a change to be in force.
const ASK_LIMIT: Duration = Duration::from_millis(400);

/// Pause after an answer without the keys: the router asked may be reading them.
const ASK_PAUSE: Duration = Duration::from_millis(30);

/// Keeps the keys as they were read, for other routers.
pub(super) fn keep(shared: &Shared, read: &PrefixEntries) {
    *shared.operator_keys.borrow_mut() = Some(read.clone());
}

/// Applies changes up to a position to the keys that are kept.
pub(super) fn keep_changes(shared: &Shared, at: StorePosition, changes: &[StoreChange]) {
    let mut keys = shared.operator_keys.borrow_mut();
    let Some(keys) = keys.as_mut() else {
        return;
    };
    keys.position = at;
    for change in changes {
        keys.entries.retain(|e| e.key != change.key);
        if let Some(value) = &change.value {
            keys.entries.push(StoreEntry {
                key: change.key.clone(),
                value: value.clone(),
                revision: change.revision,
            });
        }
    }
}

/// The encoded keys for a router that calls this path; none if they don't reach the position in it.
pub(super) fn encoded(shared: &Shared, path: &str) -> Option<Vec<u8>> {
    let (era, revision) = path.strip_prefix(PATH)?.split_once('/')?;
    let at = StorePosition {
        era: era.parse().ok()?,
        revision: revision.parse().ok()?,
    };
    let keys = shared.operator_keys.borrow();
    let keys = keys.as_ref().filter(|keys| keys.position >= at)?;
    let mut bytes = Vec::new();
    if let Err(why) = ciborium::into_writer(keys, &mut bytes) {
        log_invalid("the operators' keys", "this router", &why.to_string());
        return None;
    }
    Some(bytes)
}

/// Asks the router that the last digest gave as the source. Returns nothing if there is none, if it
/// hasn't the keys in time, or if they have to be read from the store meanwhile.
pub(super) async fn fetch(shared: &Shared) -> Option<PrefixEntries> {
    let source = shared.keys_source.take()?;
    let read_number = shared.routing_reads.get();
    let keys = timeout(ASK_LIMIT, ask(shared, source)).await.ok()?;
    let is_usable =
        shared.routing_reads.get() == read_number && shared.is_current_era(keys.position.era);
    is_usable.then_some(keys)
}

/// Asks until the answer has keys that reach far enough.
async fn ask(shared: &Shared, source: KeysSource) -> PrefixEntries {
    loop {
        let keys = fetch_once(shared, source.from, source.at).await;
        if let Some(keys) = keys.filter(|keys| keys.position >= source.at) {
            return keys;
        }
        sleep(ASK_PAUSE).await;
    }
}

async fn fetch_once(shared: &Shared, from: SocketAddr, at: StorePosition) -> Option<PrefixEntries> {
    let path = format!("{PATH}{}/{}", at.era, at.revision);
    let body = get(shared, from, &path, MAX_KEYS_BYTES).await?;
    let keys = ciborium::from_reader(&body[..]);
    if let Err(why) = &keys {
        log_invalid("the operators' keys", &from.to_string(), &why.to_string());
    }
    keys.ok()
}
