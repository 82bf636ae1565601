use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::logic::{Note, NoteCode};

/// Longest pause after the first failure. It doubles with each further one.
const FIRST: Duration = Duration::from_millis(150);

/// Failures in a row from which on the store counts as lost: a watch that is cut is an
/// everyday thing.
const LOST: u32 = 2;

/// What each router adds to the longest pause, so that up to 50 of them together try about
/// 100 times a second.
const BY_ROUTER: Duration = Duration::from_millis(20);

/// Bounds of the longest pause. The upper one and a reading lie within the shortest time
/// that operators publish for being in touch again, 3 s. A choice: with
/// 2.5 s days of 52 routers were within luck of it.
const SHORTEST_CAP: Duration = Duration::from_millis(600);
const LONGEST_CAP: Duration = Duration::from_millis(1_000);

/// Lets calls to the store through; while it fails, one try at a time.
///
/// The pauses between tries are random between nothing and a bound that doubles up to a
/// cap. Without it each router tried three times in 150 ms: 52 routers made 1,000 calls a
/// second to a store that was down.
#[derive(Default)]
pub struct StoreGate {
    failures: Cell<u32>,
    since: Cell<Option<Instant>>,
    next: Cell<Option<Instant>>,
    trying: Cell<bool>,
    changed: Notify,
}

/// Leave to make one call.
pub struct Pass<'a> {
    gate: &'a StoreGate,
    /// Whether this call is the try on which all others wait: it should be a short one.
    pub tries: bool,
}

impl StoreGate {
    /// Waits for leave to make a call.
    pub async fn pass(&self) -> Pass<'_> {
        loop {
            if self.failures.get() == 0 {
                return self.leave(false);
            }
            let changed = self.changed.notified();
            let now = Instant::now();
            let left = self
                .next
                .get()
                .map_or(Duration::ZERO, |n| n.saturating_duration_since(now));
            if left.is_zero() && !self.trying.replace(true) {
                return self.leave(true);
            }
            let left = if left.is_zero() { LONGEST_CAP } else { left };
            // Over either way: the pause has passed, or a try has ended.
            let _ = timeout(left, changed).await;
        }
    }

    /// Leave for a call that can't wait: the renewal of the planner's lease.
    pub fn leave(&self, tries: bool) -> Pass<'_> {
        Pass { gate: self, tries }
    }

    /// Another router has the store back: the next try is due now.
    pub fn hint(&self) {
        self.next.set(None);
        self.changed.notify_waiters();
    }

    /// Counts a call that was answered; true where the store was lost before.
    fn answered(&self) -> bool {
        let failures = self.failures.replace(0);
        self.next.set(None);
        if failures == 0 {
            return false;
        }
        self.changed.notify_waiters();
        let since = self.since.take();
        if failures >= LOST {
            let lasted = since.map_or(0, |s| s.elapsed().as_millis());
            log_note(
                Note::new(NoteCode::StoreUp)
                    .with("failures", failures)
                    .with("lasted", lasted),
            );
        }
        failures >= LOST
    }

    /// Counts a call that wasn't answered or was turned away.
    fn failed(&self, tries: bool, routers: usize) {
        let failures = self.failures.get();
        // What fails beside the try, or fails together, is one failure.
        if failures > 0 && !tries {
            return;
        }
        self.failures.set(failures + 1);
        if failures == 0 {
            self.since.set(Some(Instant::now()));
        }
        if failures + 1 == LOST {
            log_note(Note::new(NoteCode::StoreDown).with("failures", failures + 1));
        }
        let cap = (BY_ROUTER * routers as u32).clamp(SHORTEST_CAP, LONGEST_CAP);
        let most = (FIRST * 2u32.saturating_pow(failures.min(8))).min(cap);
        let pause = most.mul_f64(fastrand::f64());
        self.next.set(Some(Instant::now() + pause));
    }
}

impl Pass<'_> {
    /// Ends the call, with the number of routers that call the store; true where the
    /// store has come back with it.
    pub fn end(self, answered: bool, routers: usize) -> bool {
        if answered {
            return self.gate.answered();
        }
        self.gate.failed(self.tries, routers);
        false
    }
}

impl Drop for Pass<'_> {
    fn drop(&mut self) {
        if self.tries {
            self.gate.trying.set(false);
            self.gate.changed.notify_waiters();
        }
    }
}

fn log_note(note: Note) {
    log::log!(target: "runrail", note.code.level(), "{note}");
}
