//! Writes the records of blocked requests and segments to the key-value service, for routers that start
//! later.
//!
//! Running routers receive them by datagram, so that nothing waits for the service.

use std::collections::BTreeMap;

use super::crash_table::RETENTION_MS;
use super::{broadcast, CrashRecord, CrashReport, CrashStore};
use crate::logic::direct::{DirectState, Fingerprint};
use crate::logic::router::{KeyWrite, StoreCall, StoreChange, StoreEntry, StoreReply, StoreResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::Millis;

/// Prefix of the keys, which end in the fingerprint of the cause.
const PREFIX: &str = "runrail/crashes/";

/// Time to live of the lease that a key is attached to, which is how long a router keeps a
/// record.
const LEASE_S: u64 = RETENTION_MS / 1_000;

/// Delay before the next call after one that failed.
const RETRY_DELAY_MS: Millis = 500;

/// Time over which routers spread their writes after the service was restored from a backup.
const WRITE_SPREAD_MS: Millis = 5_000;

/// Time over which routers spread their writes of a record that the service has in an older form.
const REWRITE_SPREAD_MS: Millis = 500;

fn key(cause: &Fingerprint) -> String {
    format!("{PREFIX}{cause}")
}

/// Writes the records that are due, one call at a time, also while the router shuts down.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let table = &state.crashes.table;
    let store = &mut state.crashes.store;
    store
        .queue
        .retain(|cause, _| table.get(cause).is_some_and(CrashRecord::was_blocked));
    if store.call.is_some() || now < store.next_at {
        return;
    }
    let due = store.queue.iter().find(|(_, from)| now >= **from);
    store.current = due.map(|(cause, _)| *cause);
    let Some(cause) = store.current else {
        return;
    };
    let op = match store.lease {
        None => StoreCall::Grant { ttl_s: LEASE_S },
        Some(lease) => swap_call(state, cause, lease, out),
    };
    let call = state.call_store(op, out);
    state.crashes.store.call = Some(call);
}

/// The call that writes the record of a cause under a lease.
fn swap_call(
    state: &DirectState,
    cause: Fingerprint,
    lease: i64,
    out: &mut Vec<Effect>,
) -> StoreCall {
    let record = state.crashes.table.get(&cause).cloned();
    let report = CrashReport {
        cause,
        record: record.unwrap_or_default(),
    };
    let value = serde_json::to_string(&report).unwrap_or_else(|e| {
        out.push(invalid_record(&cause.to_string(), &e.to_string()));
        String::new()
    });
    StoreCall::Transaction {
        checks: Vec::new(),
        puts: vec![KeyWrite {
            key: key(&cause),
            value,
            lease: Some(lease),
        }],
        deletes: Vec::new(),
        reads: Vec::new(),
    }
}

/// Handles the result of a call: the lease is granted first, then the record is written.
pub(in crate::logic::direct) fn on_store_reply(
    state: &mut DirectState,
    now: Millis,
    result: &StoreResult,
) {
    let store = &mut state.crashes.store;
    store.call = None;
    match result {
        Ok(StoreReply::Lease { lease, ttl_s }) if *ttl_s > 0 => store.lease = Some(*lease),
        Ok(StoreReply::Transaction { done: true, .. }) => {
            store.lease = None;
            if let Some(cause) = store.current.take() {
                store.queue.remove(&cause);
            }
        }
        _ => {
            store.lease = None;
            store.next_at = now + RETRY_DELAY_MS;
        }
    }
}

/// Merges the records among the keys that runrail has in the key-value service.
pub(in crate::logic::direct) fn on_store_entries(
    state: &mut DirectState,
    now: Millis,
    entries: &[StoreEntry],
    out: &mut Vec<Effect>,
) {
    for entry in entries {
        merge_stored(state, now, &entry.key, &entry.value, out);
    }
}

/// Merges the records among the changed keys. A deleted key has no effect: each router lets
/// its records expire by itself.
pub(in crate::logic::direct) fn on_watch_changes(
    state: &mut DirectState,
    now: Millis,
    changes: &[StoreChange],
    out: &mut Vec<Effect>,
) {
    for change in changes {
        if let Some(value) = &change.value {
            merge_stored(state, now, &change.key, value, out);
        }
    }
}

fn merge_stored(
    state: &mut DirectState,
    now: Millis,
    key: &str,
    value: &str,
    out: &mut Vec<Effect>,
) {
    if !key.starts_with(PREFIX) {
        return;
    }
    match serde_json::from_str::<CrashReport>(value) {
        Ok(report) => {
            broadcast::merge_stored(state, now, &report, out);
            let record = state.crashes.table.get(&report.cause);
            // What the stored record has no room for can't be added by writing it again.
            let is_stored = |own: &CrashRecord| {
                let stored = &report.record;
                let mut merged = stored.clone();
                merged.merge(own);
                merged.cleared.is_subset(&stored.cleared) && merged.alone.is_subset(&stored.alone)
            };
            if record.is_none_or(is_stored) {
                // The record is stored already: this router needn't write it as well.
                state.crashes.store.queue.remove(&report.cause);
            } else {
                // Another router has written it without knowing that the request was cleared or has
                // crashed an endpoint alone. Of those that know, the first to write spares the others.
                let due = now + state.random_below(REWRITE_SPREAD_MS);
                let queue = &mut state.crashes.store.queue;
                queue.entry(report.cause).or_insert(due);
            }
        }
        Err(e) => out.push(invalid_record(key, &e.to_string())),
    }
}

fn invalid_record(key: &str, why: &str) -> Effect {
    let event = LogEvent::new(LogCode::CrashesUnread)
        .with("key", key)
        .with("why", why);
    Effect::Log(event)
}

/// Schedules all records of blocked requests to be written again, as the key-value service was
/// restored from a backup that may lack them.
pub(in crate::logic::direct) fn on_store_restored(state: &mut DirectState, now: Millis) {
    let blocked: Vec<_> = state.crashes.table.blocked().collect();
    let mut queue = BTreeMap::new();
    for cause in blocked {
        queue.insert(cause, now + state.random_below(WRITE_SPREAD_MS));
    }
    state.crashes.store = CrashStore {
        queue,
        ..CrashStore::default()
    };
}
