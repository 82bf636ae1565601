use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::logic::{LogCode, LogEvent};

/// Bound of the random pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Consecutive failures from which the store counts as lost. A single one doesn't, as
/// interrupted watches are common.
const LOST_FAILURES: u32 = 2;

/// What each router of the fleet adds to the cap of that bound, so that up to 50 routers together
/// make about 100 trial calls a second.
const CAP_PER_ROUTER: Duration = Duration::from_millis(20);

/// Limits of that cap. The longest pause and a read of the store after it stay within 3 s, the
/// shortest time that operators publish for reconnecting to a store.
const MIN_CAP: Duration = Duration::from_millis(600);
const MAX_CAP: Duration = Duration::from_millis(1_000);

/// Gate for calls to the store. While the store fails, it lets one trial call through at a
/// time.
///
/// The pauses between trial calls are random, from zero up to a bound that doubles up to a
/// cap. Without the gate each router made three calls in 150 ms, and 52 routers made 1,000
/// calls a second to a store that was down.
#[derive(Default)]
pub struct StoreGate {
    failures: Cell<u32>,
    failing_since: Cell<Option<Instant>>,
    next_trial: Cell<Option<Instant>>,
    in_trial: Cell<bool>,
    changed: Notify,
}

/// Permission to make one call.
pub struct Permit<'a> {
    gate: &'a StoreGate,
    /// Whether this is the trial call, for which all other calls wait; it should be short.
    pub is_trial: bool,
}

impl StoreGate {
    /// Waits until a call may be made.
    pub async fn acquire(&self) -> Permit<'_> {
        loop {
            if self.failures.get() == 0 {
                return self.permit(false);
            }
            let changed = self.changed.notified();
            let now = Instant::now();
            let left = self
                .next_trial
                .get()
                .map_or(Duration::ZERO, |n| n.saturating_duration_since(now));
            if left.is_zero() && !self.in_trial.replace(true) {
                return self.permit(true);
            }
            let left = if left.is_zero() { MAX_CAP } else { left };
            // The loop checks again, whether the pause is over or a trial call has ended.
            let _ = timeout(left, changed).await;
        }
    }

    /// Permission without waiting, for the renewal of the planner lease.
    pub fn permit(&self, is_trial: bool) -> Permit<'_> {
        Permit {
            gate: self,
            is_trial,
        }
    }

    /// Makes the next trial call due now, as the store answers another router again.
    pub fn retry_now(&self) {
        self.next_trial.set(None);
        self.changed.notify_waiters();
    }

    /// Handles an answered call; returns whether the store was lost before it.
    fn on_answer(&self) -> bool {
        let failures = self.failures.replace(0);
        self.next_trial.set(None);
        if failures == 0 {
            return false;
        }
        self.changed.notify_waiters();
        let since = self.failing_since.take();
        if failures >= LOST_FAILURES {
            let lasted = since.map_or(0, |s| s.elapsed().as_millis());
            log_event(
                LogEvent::new(LogCode::StoreUp)
                    .with("failures", failures)
                    .with("lasted", lasted),
            );
        }
        failures >= LOST_FAILURES
    }

    /// Handles a call that wasn't answered or was rejected.
    fn on_failure(&self, is_trial: bool, routers: usize) {
        let failures = self.failures.get();
        // Calls that were in flight together count as one failure, and calls beside the trial
        // call don't count.
        if failures > 0 && !is_trial {
            return;
        }
        self.failures.set(failures + 1);
        if failures == 0 {
            self.failing_since.set(Some(Instant::now()));
        }
        if failures + 1 == LOST_FAILURES {
            log_event(LogEvent::new(LogCode::StoreDown).with("failures", failures + 1));
        }
        let cap = (CAP_PER_ROUTER * routers as u32).clamp(MIN_CAP, MAX_CAP);
        let bound = (FIRST_PAUSE * 2u32.saturating_pow(failures.min(8))).min(cap);
        let pause = bound.mul_f64(fastrand::f64());
        self.next_trial.set(Some(Instant::now() + pause));
    }
}

impl Permit<'_> {
    /// Ends the call, with the number of routers that call the store; returns whether the
    /// store was lost before this answer.
    pub fn end(self, answered: bool, routers: usize) -> bool {
        if answered {
            return self.gate.on_answer();
        }
        self.gate.on_failure(self.is_trial, routers);
        false
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        if self.is_trial {
            self.gate.in_trial.set(false);
            self.gate.changed.notify_waiters();
        }
    }
}

fn log_event(event: LogEvent) {
    log::log!(target: "runrail", event.code.level(), "{event}");
}
