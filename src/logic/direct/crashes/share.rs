//! Tells other routers which requests endpoints have crashed under.

use super::{suspect, CrashReport};
use crate::logic::direct::{DirectEffect, DirectState, Fingerprint, PeerMessage};
use crate::logic::Effect;
use crate::types::Millis;

/// How often a change is told: datagrams may be lost.
const TIMES: u32 = 3;

/// Time between two tellings of a change.
const AGAIN_MS: Millis = 300;

/// Time within which a router that has found out what is refused has written it.
const WRITTEN_MS: Millis = 1_000;

/// Bytes of reports in one datagram, which leaves room for the rest of it.
const BYTES: usize = 1_100;

/// Remembers that something new is known of a request.
pub(super) fn note(state: &mut DirectState, now: Millis, request: Fingerprint) {
    state.crashes.untold.insert(request, (now, TIMES));
}

/// Tells all other routers what is due.
pub(super) fn tell(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    let crashes = &mut state.crashes;
    let mut reports = Vec::new();
    for (request, (next_at, times)) in &mut crashes.untold {
        if now < *next_at {
            continue;
        }
        *next_at = now + AGAIN_MS;
        *times -= 1;
        if let Some(record) = crashes.table.get(request) {
            let (request, record) = (*request, record.clone());
            reports.push(CrashReport { request, record });
        }
    }
    crashes.untold.retain(|_, (_, times)| *times > 0);
    for part in parts(reports) {
        for to in state.peers.values().copied() {
            let message = PeerMessage::Crashes(part.clone());
            out.push(Effect::Direct(DirectEffect::Tell { to, message }));
        }
    }
}

/// Divides reports among datagrams.
fn parts(reports: Vec<CrashReport>) -> Vec<Vec<CrashReport>> {
    let mut parts: Vec<Vec<CrashReport>> = Vec::new();
    let mut room = 0;
    for report in reports {
        let bytes = report.bytes();
        match parts.last_mut().filter(|_| bytes <= room) {
            Some(part) => part.push(report),
            None => {
                room = BYTES;
                parts.push(vec![report]);
            }
        }
        room = room.saturating_sub(bytes);
    }
    parts
}

/// Another router has told what it knows. What is refused only by what both know together
/// is told on. Whoever told it may be gone before it has written what is refused, so that
/// this router does so as well, unless the key-value service shows it by then.
pub(in crate::logic::direct) fn told(
    state: &mut DirectState,
    now: Millis,
    reports: &[CrashReport],
    out: &mut Vec<Effect>,
) {
    for report in reports {
        if !learn(state, now, report, out) {
            continue;
        }
        let together = !report.record.blocks();
        let pause = if together {
            0
        } else {
            WRITTEN_MS + state.random(WRITTEN_MS)
        };
        state.crashes.keep.queue.insert(report.request, now + pause);
        if together {
            note(state, now, report.request);
        }
    }
}

/// Takes in what is known of a request; true where it is refused from now on.
pub(super) fn learn(
    state: &mut DirectState,
    now: Millis,
    report: &CrashReport,
    out: &mut Vec<Effect>,
) -> bool {
    let table = &mut state.crashes.table;
    let before = table.blocks(&report.request);
    table.merge(now, report.request, &report.record);
    let newly = !before && table.blocks(&report.request);
    if newly {
        suspect::block(state, report.request, out);
    }
    newly
}
