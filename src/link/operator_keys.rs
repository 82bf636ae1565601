//! Operators' keys, which routers send each other over HTTP in CBOR: a change costs the store one
//! call for each of the few routers that read it, however many there are.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use tokio::time::{sleep, timeout};

use super::endpoint_calls::log_invalid;
use super::shared::Shared;
use super::snapshots::get;
use super::store::PrefixEntries;
use crate::logic::direct::{KeysSource, ListPace};
use crate::logic::router::{StoreChange, StoreEntry};
use crate::types::StorePosition;

/// Start of the path; the position up to which the keys have to reach follows: `ERA/REVISION`.
pub(super) const PATH: &str = "/operator-keys/";

/// Largest answer. Eight of them pass a link of 40 Mbit/s in 0.2 s; longer ones would delay all else on
/// it, such as probes of endpoints, which then count as lost.
const MAX_KEYS_BYTES: usize = 128 * 1024;

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

/// The answer to a router that calls this path: 503 while the keys don't reach the position in it.
/// Any other status but 200 tells it to read the store: of the planner, whose probes have to be in
/// time, and of a router with too many keys.
pub(super) fn answer(shared: &Shared, path: &str) -> (StatusCode, Bytes) {
    if shared.list_pace.get() == ListPace::Fast {
        return (StatusCode::MISDIRECTED_REQUEST, Bytes::new());
    }
    let Some(at) = path.strip_prefix(PATH).and_then(parse_position) else {
        return (StatusCode::BAD_REQUEST, Bytes::new());
    };
    let keys = shared.operator_keys.borrow();
    let Some(keys) = keys.as_ref().filter(|keys| keys.position >= at) else {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    let mut bytes = Vec::new();
    if let Err(why) = ciborium::into_writer(keys, &mut bytes) {
        log_invalid("the operators' keys", "this router", &why.to_string());
        return (StatusCode::INTERNAL_SERVER_ERROR, Bytes::new());
    }
    if bytes.len() > MAX_KEYS_BYTES {
        return (StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
    }
    (StatusCode::OK, bytes.into())
}

/// Parses `ERA/REVISION`.
fn parse_position(text: &str) -> Option<StorePosition> {
    let (era, revision) = text.split_once('/')?;
    Some(StorePosition {
        era: era.parse().ok()?,
        revision: revision.parse().ok()?,
    })
}

/// Asks the router that the last digest gave as the source. Returns nothing if there is none, if it
/// hasn't the keys in time, or if they have to be read from the store meanwhile.
pub(super) async fn fetch(shared: &Shared) -> Option<PrefixEntries> {
    let source = shared.keys_source.take()?;
    let read_number = shared.routing_reads.get();
    let keys = timeout(ASK_LIMIT, ask(shared, source)).await.ok()??;
    let is_usable =
        shared.routing_reads.get() == read_number && shared.is_current_era(keys.position.era);
    is_usable.then_some(keys)
}

/// Asks until the answer has keys that reach far enough; none if the router asked won't give any.
async fn ask(shared: &Shared, source: KeysSource) -> Option<PrefixEntries> {
    let path = format!("{PATH}{}/{}", source.at.era, source.at.revision);
    loop {
        match get(shared, source.from, &path, MAX_KEYS_BYTES).await {
            Some((StatusCode::OK, body)) => {
                let keys: Option<PrefixEntries> = ciborium::from_reader(&body[..])
                    .map_err(|why| {
                        let from = source.from.to_string();
                        log_invalid("the operators' keys", &from, &why.to_string());
                    })
                    .ok();
                return keys.filter(|keys| keys.position >= source.at);
            }
            None | Some((StatusCode::SERVICE_UNAVAILABLE, _)) => sleep(ASK_PAUSE).await,
            Some(_) => return None,
        }
    }
}
