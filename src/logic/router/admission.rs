//! Admission of callers' requests.

use std::sync::Arc;

use super::{attempts, finish, head, AnswerPart, CallerRequest, ClaimState, Problem, Request};
use super::{RouterState, Stage};
use crate::logic::Effect;
use crate::message::ClaimKey;
use crate::types::{AccountSpec, BundleBody, ClassSpec, Millis};

/// Handles a new request: admits and dispatches it, or answers with a problem at once.
pub(super) fn on_request(
    state: &mut RouterState,
    now: Millis,
    call: CallerRequest,
    out: &mut Vec<Effect>,
) {
    let id = call.id;
    match admit(state, now, call) {
        Ok(request) => {
            *state
                .account_counts
                .entry(request.account.clone())
                .or_insert(0) += 1;
            state.requests.insert(id, request);
            state.budget.add_request();
            attempts::dispatch(state, now, id, out);
        }
        Err(mut problem) => {
            if problem.retry_ms.is_some() {
                problem.retry_ms = Some(state.spread(state.params.hint_ms));
            }
            finish::log_problem(id, &problem, out);
            out.push(Effect::Answer {
                request: id,
                part: AnswerPart::Problem(problem),
            });
        }
    }
}

/// Checks a request against the bundle in force and the limits, and builds its state.
fn admit(state: &RouterState, now: Millis, call: CallerRequest) -> Result<Request, Problem> {
    let hint = state.params.hint_ms;
    if state.stopping {
        return Err(
            Problem::not_run(503, "this router is shutting down; try again").with_retry(hint),
        );
    }
    let Some(bundle) = state.bundle() else {
        return Err(Problem::not_run(503, "no bundle is in force yet").with_retry(hint));
    };
    if !head::is_proven(state, now) {
        let detail = "this router can't prove that its bundle is the newest";
        return Err(Problem::not_run(503, detail).with_retry(hint));
    }
    let body = &bundle.body;
    let account = find_account(body, &call)?;
    let class = find_class(body, account, &call)?;
    check_model(body, &call)?;
    check_limits(state, account)?;
    let claim = new_claim(account, class, &call)?;
    let left = call.deadline_ms.unwrap_or(class.deadline_ms);
    if left == 0 {
        return Err(Problem::not_run(400, "the deadline has passed already"));
    }
    Ok(Request {
        id: call.id,
        account: account.name.clone(),
        share: account.share,
        class: class.name.clone(),
        priority: class.priority,
        model: call.model,
        kind: call.kind,
        path: call.path,
        body: call.body,
        arrived_at: now,
        deadline: now + left,
        claim,
        stage: Stage::Delayed(now),
        attempt: 0,
        maybe_ran: false,
        delivered: 0,
        delivered_text: String::new(),
        avoid_group: None,
    })
}

fn find_account<'a>(
    body: &'a BundleBody,
    call: &CallerRequest,
) -> Result<&'a AccountSpec, Problem> {
    body.account_by_key(&call.key_sha256)
        .ok_or_else(|| Problem::not_run(401, "the bearer key belongs to no client account"))
}

fn find_class<'a>(
    body: &'a BundleBody,
    account: &AccountSpec,
    call: &CallerRequest,
) -> Result<&'a ClassSpec, Problem> {
    let name: Option<&Arc<str>> = call.class.as_ref().or(account.classes.first());
    let Some(name) = name else {
        return Err(Problem::not_run(
            403,
            "the client account isn't allowed any class",
        ));
    };
    if !account.classes.contains(name) {
        let allowed = account.classes.join(", ");
        let detail =
            format!("class {name:?} isn't allowed for this client account; it may use: {allowed}");
        return Err(Problem::not_run(403, detail));
    }
    body.class(name)
        .ok_or_else(|| Problem::not_run(403, format!("class {name:?} isn't in the bundle")))
}

fn check_model(body: &BundleBody, call: &CallerRequest) -> Result<(), Problem> {
    let known = body.model(&call.model).is_some_and(|m| m.kind == call.kind);
    if known {
        return Ok(());
    }
    let names: Vec<_> = body
        .models
        .iter()
        .filter(|m| m.kind == call.kind)
        .map(|m| &*m.name)
        .collect();
    let detail = format!(
        "found {:?}, expected one of: {}",
        call.model,
        names.join(", ")
    );
    Err(Problem::not_run(404, detail))
}

fn check_limits(state: &RouterState, account: &AccountSpec) -> Result<(), Problem> {
    let hint = state.params.hint_ms;
    let used = state
        .account_counts
        .get(&account.name)
        .copied()
        .unwrap_or(0);
    if used >= account.limit {
        let detail =
            format!("the client account has {used} requests in flight, which is its limit");
        return Err(Problem::not_run(429, detail).with_retry(hint));
    }
    if state.requests.len() >= state.params.request_limit as usize {
        let detail = "this router has reached its limit of requests in flight";
        return Err(Problem::not_run(503, detail).with_retry(hint));
    }
    Ok(())
}

/// State of the claim of a request with an idempotency key, before anything is written.
///
/// Without a key, a request of a class that may not be repeated is refused.
fn new_claim(
    account: &AccountSpec,
    class: &ClassSpec,
    call: &CallerRequest,
) -> Result<Option<ClaimState>, Problem> {
    let Some(key) = &call.idempotency_key else {
        if class.repeat {
            return Ok(None);
        }
        let detail = format!(
            "requests of class {:?} may not be repeated and need an Idempotency-Key",
            class.name
        );
        return Err(Problem::not_run(400, detail));
    };
    Ok(Some(ClaimState {
        key: ClaimKey::new(&account.name, key),
        content: ClaimKey::of_content(&call.model, &call.path, &call.body),
        attempt: 0,
        incarnation: 0,
        revision: 0,
        is_own: false,
    }))
}
