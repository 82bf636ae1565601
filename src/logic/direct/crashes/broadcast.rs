//! Exchanges crash records with the other routers.

use super::{clearing, trials, CrashRecord, CrashReport, CrashTable, MIN_RISKY_CRASHES};
use crate::logic::direct::{DirectEffect, DirectState, Fingerprint, PeerMessage};
use crate::logic::Effect;
use crate::types::Millis;

/// How many times a changed record is sent to each router, as datagrams may be lost.
const MAX_SENDS: u32 = 3;

/// Time between two sends of the same record.
const RESEND_DELAY_MS: Millis = 300;

/// Time that the router which blocked a request gets to write its record to the key-value
/// service before the routers that it informed do; each waits up to as long again at random.
const WRITE_DELAY_MS: Millis = 1_000;

/// Size of the reports in one datagram, which leaves room for its other parts.
const MAX_REPORT_BYTES: usize = 1_100;

/// Schedules the changed record of a cause for sending to the other routers. With that of a risky
/// one they also get the records of others that may have caused its crashes, as one of them may
/// have just started.
pub(super) fn schedule_broadcast(state: &mut DirectState, now: Millis, cause: Fingerprint) {
    let table = &state.crashes.table;
    let sharing = if table.counted_crashes(&cause) >= MIN_RISKY_CRASHES {
        table.sharing(&cause)
    } else {
        Vec::new()
    };
    let pending = &mut state.crashes.pending_reports;
    for cause in sharing.into_iter().chain([cause]) {
        pending.insert(cause, (now, MAX_SENDS));
    }
}

/// Sends the records that are due to all other routers.
pub(super) fn send_due(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let crashes = &mut state.crashes;
    let mut reports = Vec::new();
    for (cause, (next_at, sends_left)) in &mut crashes.pending_reports {
        if now < *next_at {
            continue;
        }
        *next_at = now + RESEND_DELAY_MS;
        *sends_left -= 1;
        if let Some(record) = crashes.table.get(cause) {
            let (cause, record) = (*cause, record.clone());
            reports.push(CrashReport { cause, record });
        }
    }
    crashes
        .pending_reports
        .retain(|_, (_, sends_left)| *sends_left > 0);
    for datagram in split_reports(reports) {
        for to in state.peers.values().copied() {
            let message = PeerMessage::Crashes(datagram.clone());
            out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
        }
    }
}

/// Divides reports among datagrams. A report that is too large for one gets its own.
fn split_reports(reports: Vec<CrashReport>) -> Vec<Vec<CrashReport>> {
    let mut datagrams: Vec<Vec<CrashReport>> = Vec::new();
    let mut bytes_left = 0;
    for report in reports {
        let bytes = report.max_bytes();
        match datagrams.last_mut().filter(|_| bytes <= bytes_left) {
            Some(datagram) => datagram.push(report),
            None => {
                bytes_left = MAX_REPORT_BYTES;
                datagrams.push(vec![report]);
            }
        }
        bytes_left = bytes_left.saturating_sub(bytes);
    }
    datagrams
}

/// Merges the reports of another router. A cause that is blocked only by the crashes of
/// both records together is sent on. One that the other router has blocked by itself may not
/// be in the key-value service yet when that router ends, so that this one writes it as well
/// after a delay, unless the service shows it by then.
pub(in crate::logic::direct) fn on_crash_reports(
    state: &mut DirectState,
    now: Millis,
    reports: &[CrashReport],
    out: &mut Vec<Effect>,
) {
    let alone_before = |r: &CrashReport| state.crashes.table.alone_crashes(&r.cause);
    let alone_before: Vec<_> = reports.iter().map(alone_before).collect();
    let blocked = newly_blocked(state, now, reports, CrashTable::merge, out);
    for (report, before) in reports.iter().zip(alone_before) {
        if state.crashes.table.alone_crashes(&report.cause) > before {
            let delay = WRITE_DELAY_MS + state.random_below(WRITE_DELAY_MS);
            let queue = &mut state.crashes.store.queue;
            queue.entry(report.cause).or_insert(now + delay);
        }
    }
    for report in blocked {
        trials::review(state, now, report.cause, out);
        let combined = !report.record.is_blocked();
        let delay = if combined {
            0
        } else {
            WRITE_DELAY_MS + state.random_below(WRITE_DELAY_MS)
        };
        state.crashes.store.queue.insert(report.cause, now + delay);
        if combined {
            schedule_broadcast(state, now, report.cause);
        }
    }
}

/// Merges a report from the key-value service.
pub(super) fn merge_stored(
    state: &mut DirectState,
    now: Millis,
    report: &CrashReport,
    out: &mut Vec<Effect>,
) {
    let reports = std::slice::from_ref(report);
    for report in newly_blocked(state, now, reports, CrashTable::merge_stored, out) {
        trials::review(state, now, report.cause, out);
    }
}

/// Merges all reports by `merge`, and clears the segments that this router has seen answered recently; returns
/// those of causes that are blocked from now on and were not before.
fn newly_blocked<'a>(
    state: &mut DirectState,
    now: Millis,
    reports: &'a [CrashReport],
    merge: fn(&mut CrashTable, Millis, Fingerprint, &CrashRecord) -> bool,
    out: &mut Vec<Effect>,
) -> Vec<&'a CrashReport> {
    let table = &mut state.crashes.table;
    let was_blocked = |r: &CrashReport| table.is_blocked(&r.cause);
    let before: Vec<_> = reports.iter().map(was_blocked).collect();
    for report in reports {
        merge(table, now, report.cause, &report.record);
    }
    clearing::clear_trusted(state, now, reports, out);
    let table = &state.crashes.table;
    let is_new =
        |(report, before): &(&CrashReport, bool)| !before && table.is_blocked(&report.cause);
    let blocked = reports.iter().zip(before).filter(is_new);
    blocked.map(|(report, _)| report).collect()
}
