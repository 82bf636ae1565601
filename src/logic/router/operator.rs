//! Operators' calls: submitting, approving and rolling bundles, and reading the status.

use std::sync::Arc;

use super::{
    fleet, roll, status, CallPurpose, KeyWrite, Keys, OperatorCall, OperatorReply, Problem,
    RevisionCheck, StoreChange,
};
use super::{RouterState, StoreCall, StoreReply, StoreResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Approval, Bundle, BundleBody, BundleFault, Millis};

/// Handles an operator's call.
pub(super) fn on_call(
    state: &mut RouterState,
    now: Millis,
    job: u64,
    call: OperatorCall,
    out: &mut Vec<Effect>,
) {
    match call {
        OperatorCall::Submit { by, body } => submit(state, job, by, *body, out),
        OperatorCall::Approve { by, number } => approve(state, job, by, number, out),
        OperatorCall::Roll { by, number } => roll::begin(state, now, job, by, number, out),
        OperatorCall::Bundles => {
            let reply = OperatorReply::Bundles {
                bundles: state
                    .fleet
                    .bundles
                    .values()
                    .map(|(b, _)| b.as_ref().clone())
                    .collect(),
                approvals: state
                    .fleet
                    .approvals
                    .values()
                    .map(|(a, _)| a.clone())
                    .collect(),
                head: state.bundle_number(),
            };
            out.push(Effect::Reply { job, reply });
        }
        OperatorCall::Status => {
            let status = Box::new(status::build(state, now));
            out.push(Effect::Reply {
                job,
                reply: OperatorReply::Status(status),
            });
        }
    }
}

fn reply_problem(job: u64, problem: Problem, out: &mut Vec<Effect>) {
    out.push(Effect::Reply {
        job,
        reply: OperatorReply::Problem(problem),
    });
}

fn submit(state: &mut RouterState, job: u64, by: String, body: BundleBody, out: &mut Vec<Effect>) {
    let faults = BundleFault::find_all(&body);
    if !faults.is_empty() {
        let lines: Vec<_> = faults.iter().map(|f| f.to_string()).collect();
        return reply_problem(job, Problem::not_run(422, lines.join("\n")), out);
    }
    if !state.fleet.is_read {
        let detail = "the key-value service hasn't been read yet";
        return reply_problem(job, Problem::not_run(503, detail), out);
    }
    let newest = state.fleet.bundles.keys().next_back().copied().unwrap_or(0);
    let number = newest.max(state.head.head.number) + 1;
    let bundle = Bundle {
        number,
        author: by,
        body,
    };
    let op = create_key(Keys::bundle(number), &bundle);
    let bundle = Arc::new(bundle);
    state.call_store(CallPurpose::Submit { job, bundle }, op, out);
}

/// A write that succeeds only if the key doesn't exist yet.
fn create_key<T: serde::Serialize>(key: String, value: &T) -> StoreCall {
    StoreCall::Transaction {
        checks: vec![RevisionCheck {
            key: key.clone(),
            revision: 0,
        }],
        puts: vec![KeyWrite {
            key: key.clone(),
            value: serde_json::to_string(value).unwrap_or_default(),
            lease: None,
        }],
        deletes: Vec::new(),
        reads: vec![key],
    }
}

/// Handles the result of writing a submitted bundle.
///
/// A stored bundle is known from then on: the watch may report it after the operator's next call.
pub(super) fn on_submit_result(
    state: &mut RouterState,
    job: u64,
    bundle: Arc<Bundle>,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let number = bundle.number;
    match result {
        Ok(StoreReply::Transaction {
            done: true,
            revision,
            ..
        }) => {
            state.fleet.bundles.insert(number, (bundle, revision));
            let event = LogEvent::new(LogCode::BundleSubmitted).with("bundle", number);
            out.push(Effect::Log(event));
            out.push(Effect::Reply {
                job,
                reply: OperatorReply::Submitted(number),
            });
        }
        Ok(_) => {
            fleet::start_read(state, out);
            let detail = format!(
                "bundle {number} was submitted by another call at the same time; submit again"
            );
            reply_problem(job, Problem::not_run(409, detail), out);
        }
        Err(_) => {
            let detail = format!(
                "result unknown; `runrail bundle status` shows whether bundle {number} was stored"
            );
            reply_problem(job, Problem::unknown(504, detail), out);
        }
    }
}

fn approve(state: &mut RouterState, job: u64, by: String, number: u64, out: &mut Vec<Effect>) {
    let Some((bundle, _)) = state.fleet.bundles.get(&number) else {
        return reply_problem(
            job,
            Problem::not_run(404, format!("bundle {number} doesn't exist")),
            out,
        );
    };
    if bundle.author == by {
        let detail = format!("{by} wrote bundle {number}; another operator has to approve it");
        return reply_problem(job, Problem::not_run(403, detail), out);
    }
    let approval = Approval {
        number,
        by: by.clone(),
    };
    let op = create_key(Keys::approval(number), &approval);
    state.call_store(CallPurpose::Approve { job, number, by }, op, out);
}

/// Handles the result of writing an approval. One that exists already counts as success.
pub(super) fn on_approve_result(
    state: &mut RouterState,
    now: Millis,
    job: u64,
    approval: Approval,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let number = approval.number;
    match result {
        Ok(StoreReply::Transaction {
            done: true,
            revision,
            ..
        }) => {
            state.fleet.approvals.insert(number, (approval, revision));
        }
        Ok(StoreReply::Transaction { entries, .. }) => {
            let changes = entries.into_iter().map(StoreChange::from).collect();
            fleet::on_changes(state, now, changes, out);
        }
        _ => {
            let detail = "result unknown; approving again is safe";
            return reply_problem(job, Problem::unknown(504, detail), out);
        }
    }
    let event = LogEvent::new(LogCode::BundleApproved).with("bundle", number);
    out.push(Effect::Log(event));
    out.push(Effect::Reply {
        job,
        reply: OperatorReply::Approved(number),
    });
}
