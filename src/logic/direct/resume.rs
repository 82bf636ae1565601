//! Streams that have begun and whose endpoint has failed.
//!
//! Part of such a stream is with its caller, who would lose it. It waits until another endpoint can take
//! it and the retry budget allows that, as long as its caller does.

use super::send::FailedSend;
use super::{finish, send, DirectState, Mechanism, Precedence};
use crate::logic::Effect;
use crate::types::Millis;

/// Resumes a stream at another endpoint, as soon as that is possible; gives it up if it can't be resumed
/// before its deadline.
pub(super) fn resume_or_give_up(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    failed: FailedSend,
    why: &'static str,
    out: &mut Vec<Effect>,
) {
    let may_have_run = failed == FailedSend::MayHaveRun;
    if let Err(no_retry) = send::check_retry(state, now, id, may_have_run) {
        return finish::give_up(state, now, id, no_retry.reason(why), out);
    }
    let waits = state.params.is_enabled(Mechanism::ResumeWait);
    let opens_at = state.retries_from.unwrap_or(now);
    let Some(flight) = state.in_flight.get_mut(&id) else {
        return;
    };
    let needs_retry = failed != FailedSend::NotSent;
    if needs_retry && opens_at >= flight.deadline {
        state.retries_unpaid += 1;
        return finish::give_up(state, now, id, why, out);
    }
    flight.precedence = Precedence::Resumed;
    flight.pending_resend = needs_retry.then_some(why);
    if waits {
        flight.wait_until = flight.deadline;
    }
    if !needs_retry {
        send::log_resend(state, now, id, why, out);
    }
    send::send_or_wait(state, now, id, out);
}

/// Spends a retry on a stream that is resumed, if it still needs one; returns whether it may be sent.
pub(super) fn spend_pending_retry(
    state: &mut DirectState,
    now: Millis,
    id: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let flight = state.in_flight.get(&id);
    let Some((why, service)) = flight.and_then(|f| Some((f.pending_resend?, f.service.clone())))
    else {
        return true;
    };
    let is_paid = send::spend_retry(state, now, &service);
    if let Some(flight) = state.in_flight.get_mut(&id) {
        if is_paid {
            flight.pending_resend = None;
            send::log_resend(state, now, id, why, out);
        } else {
            flight.resend_at = now + send::MIN_RESEND_PAUSE_MS;
        }
    }
    is_paid
}
