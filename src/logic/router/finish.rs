//! Ending a request: the caller gets exactly one final part.

use super::{claims, AnswerPart, Metric, Outcome, Problem, RouterState, Stage};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Millis, RequestId};

/// Ends a request that the endpoint has answered.
///
/// An error status without any text becomes a problem with outcome `failed`.
pub(super) fn complete(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    status: u16,
    out: &mut Vec<Effect>,
) {
    let pieces = state.requests.get(&id).map_or(0, |r| r.delivered);
    let part = if status >= 400 && pieces == 0 {
        let detail = format!("the endpoint answered with status {status}");
        AnswerPart::Problem(Problem::failed(status, detail))
    } else {
        AnswerPart::End { status }
    };
    let event = LogEvent::new(LogCode::RequestAnswered)
        .with("request", id)
        .with("status", status)
        .with("pieces", pieces);
    out.push(Effect::Log(event));
    close(state, now, id, part, out);
}

/// Gives a request up: the outcome is `not_run` where that is proved, otherwise `unknown`.
///
/// A claim that this request wrote is released before `not_run` is answered, so that no other
/// request can have bound it again by then: the release fails if one has.
pub(super) fn give_up(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    problem: Problem,
    out: &mut Vec<Effect>,
) {
    let spread = problem.retry_ms.map(|base| state.spread(base));
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    let mut problem = Problem {
        retry_ms: spread,
        ..problem
    };
    if request.maybe_ran && problem.outcome == Outcome::NotRun {
        problem = Problem {
            status: 502,
            outcome: Outcome::Unknown,
            detail: format!(
                "an earlier attempt may have run; last problem: {}",
                problem.detail
            ),
            ..problem
        };
    }
    let claimed = request.claim.as_ref().is_some_and(|o| o.is_own);
    if claimed && problem.outcome == Outcome::NotRun {
        request.stage = Stage::Releasing(Box::new(problem));
        claims::release(state, now, id, out);
        return;
    }
    end_with_problem(state, now, id, problem, out);
}

/// Ends a request with a problem.
pub(super) fn end_with_problem(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    problem: Problem,
    out: &mut Vec<Effect>,
) {
    log_problem(id, &problem, out);
    close(state, now, id, AnswerPart::Problem(problem), out);
}

/// Logs that a request ends with a problem.
pub(super) fn log_problem(id: RequestId, problem: &Problem, out: &mut Vec<Effect>) {
    let code = match problem.outcome {
        Outcome::NotRun => LogCode::RequestNotRun,
        Outcome::Unknown => LogCode::RequestUnknown,
        Outcome::Failed => LogCode::RequestAnswered,
    };
    let event = LogEvent::new(code)
        .with("request", id)
        .with("status", problem.status)
        .with("detail", &problem.detail);
    out.push(Effect::Log(event));
}

/// Sends the final part to the caller, measures the request and removes it.
fn close(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    part: AnswerPart,
    out: &mut Vec<Effect>,
) {
    remove_request(state, id, |account, class, since| {
        let (metric, value) = match &part {
            AnswerPart::Problem(p) if p.outcome == Outcome::NotRun => (Metric::NotRun, 1),
            AnswerPart::Problem(p) if p.outcome == Outcome::Unknown => (Metric::Unknown, 1),
            _ => (Metric::Total, now.saturating_sub(since)),
        };
        out.push(Effect::RecordMetric {
            metric,
            account,
            class,
            value,
        });
    });
    out.push(Effect::Answer { request: id, part });
}

/// Removes a request from the state and from the counts of its group and client account.
///
/// `then` is called with its account, class and time of arrival.
pub(super) fn remove_request(
    state: &mut RouterState,
    id: RequestId,
    then: impl FnOnce(std::sync::Arc<str>, std::sync::Arc<str>, Millis),
) {
    let Some(request) = state.requests.remove(&id) else {
        return;
    };
    if let Some(load) = request.group().and_then(|g| state.loads.get_mut(g)) {
        load.in_flight = load.in_flight.saturating_sub(1);
    }
    if let Some(used) = state.account_counts.get_mut(&request.account) {
        *used = used.saturating_sub(1);
        if *used == 0 {
            state.account_counts.remove(&request.account);
        }
    }
    then(request.account, request.class, request.arrived_at);
}
