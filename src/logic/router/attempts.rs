//! Attempts of a request: sending them, handling how they end, and retrying.

use std::sync::Arc;

use super::{agents, claim_batch, claim_query, claims, finish, route};
use super::{AnswerPart, Metric, Problem, Request, RouterState, Stage};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::message::{AttemptEnd, Message, Once, Refusal, RunId, RunOrder};
use crate::types::{GroupId, InstanceId, Millis, RequestId};

/// Chooses a group and sends the request there; one that may not be repeated is claimed first.
pub(super) fn dispatch(state: &mut RouterState, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.get(&id).cloned() else {
        return;
    };
    let choice = match route::choose(state, now, &request) {
        Ok(choice) => choice,
        Err(problem) => return finish::give_up(state, now, id, problem, out),
    };
    if request.claim.is_some() && state.rules.claim_first {
        claims::begin(state, now, id, choice.agent, choice.group, out);
    } else {
        send(state, now, id, &choice.agent, &choice.group, out);
    }
}

/// Sends the next attempt to a group's leader.
///
/// The request is delayed if there is no session with the leader or no record of the group.
pub(super) fn send(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: &InstanceId,
    group: &GroupId,
    out: &mut Vec<Effect>,
) {
    agents::send_brief(state, agent, out);
    let bundle = state.bundle_number();
    let keep_ms = claim_batch::retention_ms(state);
    let incarnation = state.agents.get(agent).and_then(|a| a.up);
    let epoch = state.fleet.find_group(group).map(|g| g.epoch);
    let (Some(incarnation), Some(epoch)) = (incarnation, epoch) else {
        return park(state, now, id, out);
    };
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    request.attempt += 1;
    request.stage = Stage::Sent {
        agent: agent.clone(),
        group: Some(group.clone()),
    };
    let order = RunOrder {
        run: request.run_id(),
        group: group.clone(),
        epoch,
        incarnation,
        bundle,
        class: request.class.clone(),
        account: request.account.clone(),
        share: request.share,
        left_ms: request.remaining_ms(now),
        once: request.claim.as_ref().map(|o| Once {
            key: o.key,
            attempt: o.attempt.max(1),
            keep_ms,
        }),
        path: request.path.clone(),
        body: request.body.clone(),
        offset: request.delivered,
        prefix: request.delivered_text.clone(),
    };
    let event = LogEvent::new(LogCode::RequestRouted)
        .with("request", id)
        .with("attempt", request.attempt)
        .with("group", group)
        .with("agent", agent);
    out.push(Effect::Log(event));
    let load = state.loads.entry(group.clone()).or_default();
    load.in_flight += 1;
    load.since_report += 1;
    out.push(Effect::Send {
        to: agent.clone(),
        message: Message::Run(Box::new(order)),
    });
}

/// Delays the next dispatch of a request by `park_ms`, or gives it up if its deadline comes first.
pub(super) fn park(state: &mut RouterState, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
    let at = now + state.params.park_ms;
    let hint = state.params.hint_ms;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    if at >= request.deadline {
        let problem = Problem::not_run(504, "no time is left for another attempt").with_retry(hint);
        return finish::give_up(state, now, id, problem, out);
    }
    request.stage = Stage::Delayed(at);
}

/// Handles a piece of an answer: only the next offset of the present attempt is passed on.
///
/// A gap means that pieces were lost, so the attempt is treated as broken.
pub(super) fn on_piece(
    state: &mut RouterState,
    now: Millis,
    run: RunId,
    offset: u64,
    text: String,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get_mut(&run.request) else {
        return;
    };
    let current = request.run_id() == run && matches!(request.stage, Stage::Sent { .. });
    if !current || offset < request.delivered {
        return;
    }
    if offset > request.delivered {
        return on_broken_attempt(state, now, run.request, out);
    }
    deliver(request, now, 1, text, out);
}

/// Passes text on to the caller; measures the time to the first piece.
pub(super) fn deliver(
    request: &mut Request,
    now: Millis,
    pieces: u64,
    text: String,
    out: &mut Vec<Effect>,
) {
    if request.delivered == 0 {
        out.push(Effect::RecordMetric {
            metric: Metric::FirstPiece,
            account: request.account.clone(),
            class: request.class.clone(),
            value: now.saturating_sub(request.arrived_at),
        });
    }
    request.delivered += pieces;
    request.delivered_text.push_str(&text);
    out.push(Effect::Answer {
        request: request.id,
        part: AnswerPart::Piece(text),
    });
}

/// Handles the end of an attempt as its agent reports it.
pub(super) fn on_attempt_end(
    state: &mut RouterState,
    now: Millis,
    from: &InstanceId,
    run: RunId,
    end: AttemptEnd,
    out: &mut Vec<Effect>,
) {
    let Some(request) = state.requests.get(&run.request) else {
        return;
    };
    if request.run_id() != run || !matches!(request.stage, Stage::Sent { .. }) {
        return;
    }
    let id = run.request;
    match end {
        AttemptEnd::Complete { status, pieces } if pieces == request.delivered => {
            record_run_time(state, now, id);
            finish::complete(state, now, id, status, out);
        }
        AttemptEnd::Complete { .. } | AttemptEnd::Broken => on_broken_attempt(state, now, id, out),
        AttemptEnd::Refused(refusal) => on_refusal(state, now, id, from, refusal, out),
    }
}

/// Adds the time since the request's arrival to the mean of its group.
fn record_run_time(state: &mut RouterState, now: Millis, id: RequestId) {
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    let took = now.saturating_sub(request.arrived_at);
    if let Some(load) = request.group().and_then(|g| state.loads.get_mut(g)) {
        load.ended(took);
    }
}

/// Takes the present attempt out of the load of its group, which is returned.
fn remove_from_load(state: &mut RouterState, id: RequestId) -> Option<GroupId> {
    let group = state.requests.get(&id)?.group().cloned()?;
    if let Some(load) = state.loads.get_mut(&group) {
        load.in_flight = load.in_flight.saturating_sub(1);
    }
    Some(group)
}

/// Handles a refusal, which proves that this attempt didn't run.
fn on_refusal(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    agent: &InstanceId,
    refusal: Refusal,
    out: &mut Vec<Effect>,
) {
    let group = remove_from_load(state, id);
    let number = state.bundle_number();
    let hint = state.params.hint_ms;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    request.avoid_group = group;
    request.stage = Stage::Delayed(now);
    let tries_left = request.attempt < state.params.claim_tries;
    if request.claim.is_some() && refusal == Refusal::Cancelled && tries_left {
        // Another router has barred this attempt: claim the request again. If the claim has
        // changed, that write returns what stands now.
        return dispatch(state, now, id, out);
    }
    if request.claim.is_some() && refusal == Refusal::Duplicate {
        return claim_query::begin_for_attempt(state, now, id, agent, out);
    }
    if let Refusal::Behind(bundle) = refusal {
        if let Some(view) = state.agents.get_mut(agent) {
            view.bundle = view.bundle.min(bundle);
        }
    }
    if matches!(refusal, Refusal::Ahead(n) if n > number) {
        state.head.read_at = now;
    }
    let retry_ms = refusal.retry_ms().unwrap_or(0).max(hint);
    let detail = format!("refused: {refusal}");
    if !refusal.elsewhere() {
        let problem = Problem::not_run(503, detail).with_retry(retry_ms);
        return finish::give_up(state, now, id, problem, out);
    }
    let delayed = matches!(refusal, Refusal::Ahead(_) | Refusal::Behind(_));
    retry_or_give_up(state, now, id, detail, retry_ms, delayed, out);
}

/// Handles an attempt that may have run and whose end isn't known.
///
/// A request that may not be repeated ends with outcome `unknown`; any other request is retried if
/// attempts and budget allow it.
pub(super) fn on_broken_attempt(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    out: &mut Vec<Effect>,
) {
    let group = remove_from_load(state, id);
    let hint = state.params.hint_ms;
    let Some(request) = state.requests.get_mut(&id) else {
        return;
    };
    request.maybe_ran = true;
    request.avoid_group = group;
    request.stage = Stage::Delayed(now);
    if request.claim.is_some() {
        let detail = "no complete answer came; the request may have run and is not run again";
        return finish::end_with_problem(state, now, id, Problem::unknown(502, detail), out);
    }
    retry_or_give_up(
        state,
        now,
        id,
        "no complete answer came".into(),
        hint,
        false,
        out,
    );
}

/// Retries if the number of attempts and the retry budget allow it; otherwise gives the request up.
///
/// `retry_ms` is the hint for the caller if the request is given up; `delayed` delays the request
/// before the next attempt.
fn retry_or_give_up(
    state: &mut RouterState,
    now: Millis,
    id: RequestId,
    detail: String,
    retry_ms: Millis,
    delayed: bool,
    out: &mut Vec<Effect>,
) {
    let limit = state.params.attempts;
    let attempt = state.requests.get(&id).map_or(0, |r| r.attempt);
    if attempt >= limit || !state.budget.try_spend() {
        let problem = Problem::not_run(503, detail).with_retry(retry_ms);
        return finish::give_up(state, now, id, problem, out);
    }
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    let event = LogEvent::new(LogCode::RequestRetried)
        .with("request", id)
        .with("attempt", attempt)
        .with("detail", detail);
    out.push(Effect::Log(event));
    out.push(retry_metric(request));
    if delayed {
        park(state, now, id, out);
    } else {
        dispatch(state, now, id, out);
    }
}

fn retry_metric(request: &Request) -> Effect {
    let account: Arc<str> = request.account.clone();
    Effect::RecordMetric {
        metric: Metric::Retry,
        account,
        class: request.class.clone(),
        value: 1,
    }
}

/// Handles the loss of the session with an agent: the ends of attempts sent there won't arrive.
///
/// The agent is queried about requests that may not be repeated; other attempts count as broken.
pub(super) fn on_agent_lost(
    state: &mut RouterState,
    now: Millis,
    agent: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let lost: Vec<_> = state
        .requests
        .values()
        .filter(|r| matches!(&r.stage, Stage::Sent { agent: a, .. } if a == agent))
        .map(|r| (r.id, r.claim.is_some()))
        .collect();
    for (id, is_claimed) in lost {
        if is_claimed {
            remove_from_load(state, id);
            claim_query::begin_for_attempt(state, now, id, agent, out);
        } else {
            on_broken_attempt(state, now, id, out);
        }
    }
}

/// Ends requests past their deadline and grace period, and dispatches delayed ones that are due.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let grace = state.params.grace_ms;
    let mut delayed = Vec::new();
    let mut late = Vec::new();
    for request in state.requests.values() {
        if now >= request.deadline + grace {
            late.push(request.id);
        } else if matches!(request.stage, Stage::Delayed(at) if now >= at) {
            delayed.push(request.id);
        }
    }
    for id in late {
        on_deadline(state, now, id, out);
    }
    for id in delayed {
        dispatch(state, now, id, out);
    }
}

/// Ends a request whose deadline and grace period have passed.
fn on_deadline(state: &mut RouterState, now: Millis, id: RequestId, out: &mut Vec<Effect>) {
    let hint = state.params.hint_ms;
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    let problem = match &request.stage {
        Stage::Delayed(_) => {
            let problem = Problem::not_run(504, "the deadline has passed").with_retry(hint);
            return finish::give_up(state, now, id, problem, out);
        }
        Stage::Sent { agent, .. } => {
            out.push(Effect::Send {
                to: agent.clone(),
                message: Message::Cancel(request.run_id()),
            });
            Problem::unknown(
                504,
                "the deadline has passed after the request was sent; it may have run",
            )
        }
        Stage::Claiming { .. } | Stage::Releasing(_) => {
            let detail = "the claim on its key could not be settled; try again with the same key";
            Problem::unknown(504, detail).with_retry(hint)
        }
        Stage::Querying { .. } => Problem::unknown(
            504,
            "the agent named in its claim didn't report the outcome in time",
        ),
    };
    finish::end_with_problem(state, now, id, problem, out);
}

/// Handles a caller that has hung up: cancels its request.
pub(super) fn on_caller_gone(state: &mut RouterState, id: RequestId, out: &mut Vec<Effect>) {
    let Some(request) = state.requests.get(&id) else {
        return;
    };
    if let Stage::Sent { agent, .. } = &request.stage {
        out.push(Effect::Send {
            to: agent.clone(),
            message: Message::Cancel(request.run_id()),
        });
    }
    finish::remove_request(state, id, |_, _, _| {});
}
