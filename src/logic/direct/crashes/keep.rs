//! Keeps requests that are refused in the key-value service, for routers that start later.
//!
//! Routers that run hear of them by datagram, so that nothing waits for the service.

use std::collections::BTreeMap;

use super::crash_table::REMEMBERED_MS;
use super::{share, CrashReport, Keep};
use crate::logic::direct::{DirectState, Fingerprint};
use crate::logic::router::{Put, StoreCall, StoreChange, StoreEntry, StoreReply, StoreResult};
use crate::logic::{Effect, Note, NoteCode};
use crate::types::Millis;

/// Prefix of the keys.
const PREFIX: &str = "runrail/crashes/";

/// Length of the lease that a key lies under, in seconds.
const LEASE_S: u64 = REMEMBERED_MS / 1_000;

/// Pause after a call that failed.
const AGAIN_MS: Millis = 500;

/// Time over which routers spread their writes to a service that has come back from a copy.
const SPREAD_MS: Millis = 5_000;

fn key(request: &Fingerprint) -> String {
    format!("{PREFIX}{request}")
}

/// Writes what is to be kept, one call at a time; a router that stops does so as well.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let table = &state.crashes.table;
    let keep = &mut state.crashes.keep;
    keep.queue.retain(|request, _| table.blocks(request));
    if keep.call.is_some() || now < keep.next_at {
        return;
    }
    let due = keep.queue.iter().find(|(_, from)| now >= **from);
    keep.current = due.map(|(request, _)| *request);
    let Some(request) = keep.current else {
        return;
    };
    let op = match keep.lease {
        None => StoreCall::Grant { ttl_s: LEASE_S },
        Some(lease) => write(state, request, lease, out),
    };
    let call = state.call(op, out);
    state.crashes.keep.call = Some(call);
}

fn write(
    state: &DirectState,
    request: Fingerprint,
    lease: i64,
    out: &mut Vec<Effect>,
) -> StoreCall {
    let record = state.crashes.table.get(&request).cloned();
    let report = CrashReport {
        request,
        record: record.unwrap_or_default(),
    };
    let value = serde_json::to_string(&report).unwrap_or_else(|e| {
        out.push(unread(&request.to_string(), &e.to_string()));
        String::new()
    });
    StoreCall::Swap {
        checks: Vec::new(),
        puts: vec![Put {
            key: key(&request),
            value,
            lease: Some(lease),
        }],
        deletes: Vec::new(),
        reads: Vec::new(),
    }
}

/// A call has been answered.
pub(in crate::logic::direct) fn answered(
    state: &mut DirectState,
    now: Millis,
    result: &StoreResult,
) {
    let keep = &mut state.crashes.keep;
    keep.call = None;
    match result {
        Ok(StoreReply::Lease { lease, ttl_s }) if *ttl_s > 0 => keep.lease = Some(*lease),
        Ok(StoreReply::Swapped { done: true, .. }) => {
            keep.lease = None;
            if let Some(request) = keep.current.take() {
                keep.queue.remove(&request);
            }
        }
        _ => {
            keep.lease = None;
            keep.next_at = now + AGAIN_MS;
        }
    }
}

/// The own keys were read whole.
pub(in crate::logic::direct) fn read(
    state: &mut DirectState,
    now: Millis,
    entries: &[StoreEntry],
    out: &mut Vec<Effect>,
) {
    for entry in entries {
        learn(state, now, &entry.key, &entry.value, out);
    }
}

/// Own keys have changed. A key that has gone changes nothing here: each router forgets by
/// its own time.
pub(in crate::logic::direct) fn changed(
    state: &mut DirectState,
    now: Millis,
    changes: &[StoreChange],
    out: &mut Vec<Effect>,
) {
    for change in changes {
        if let Some(value) = &change.value {
            learn(state, now, &change.key, value, out);
        }
    }
}

fn learn(state: &mut DirectState, now: Millis, key: &str, value: &str, out: &mut Vec<Effect>) {
    if !key.starts_with(PREFIX) {
        return;
    }
    match serde_json::from_str::<CrashReport>(value) {
        Ok(report) => {
            share::learn(state, now, &report, out);
            // Of several routers that write the same one is enough.
            state.crashes.keep.queue.remove(&report.request);
        }
        Err(e) => out.push(unread(key, &e.to_string())),
    }
}

fn unread(key: &str, why: &str) -> Effect {
    let note = Note::new(NoteCode::CrashesUnread)
        .with("key", key)
        .with("why", why);
    Effect::Note(note)
}

/// The service has come back from an older copy: what it may lack is written again.
pub(in crate::logic::direct) fn restored(state: &mut DirectState, now: Millis) {
    let blocked: Vec<_> = state.crashes.table.blocked().collect();
    let mut queue = BTreeMap::new();
    for request in blocked {
        queue.insert(request, now + state.random(SPREAD_MS));
    }
    state.crashes.keep = Keep {
        queue,
        ..Keep::default()
    };
}
