//! Putting a bundle in force: a single write, whose result is known before other routers are told.

use super::{
    head, CallPurpose, KeyWrite, Keys, OperatorReply, Problem, RevisionCheck, RouterState,
    StoreCall,
};
use super::{StoreReply, StoreResult};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::types::{Head, Millis};

/// Time before a write whose reply was lost is repeated.
const RETRY_INTERVAL_MS: Millis = 500;
/// Time after which the operator is answered that the result isn't known; writing goes on.
const REPLY_TIMEOUT_MS: Millis = 8_000;

/// A roll whose result isn't known yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PendingRoll {
    /// Head to write.
    pub head: Head,
    /// Revision that the head must have.
    pub revision: i64,
    /// Operator's call that waits for the result; `None` once it is answered.
    pub operator_call: Option<u64>,
    /// When the operator asked for it.
    pub started_at: Millis,
    /// When the write is repeated next.
    pub retry_at: Millis,
}

/// Starts a roll, or answers why it can't be done.
pub(super) fn begin(
    state: &mut RouterState,
    now: Millis,
    job: u64,
    by: String,
    number: u64,
    out: &mut Vec<Effect>,
) {
    if let Err(problem) = check_roll(state, number) {
        out.push(Effect::Reply {
            job,
            reply: OperatorReply::Problem(problem),
        });
        return;
    }
    let nonce = state.random(u64::MAX);
    state.roll = Some(PendingRoll {
        head: Head { number, by, nonce },
        revision: state.head.revision,
        operator_call: Some(job),
        started_at: now,
        retry_at: now,
    });
    on_tick(state, now, out);
}

/// Whether a bundle can be put in force by this router now.
fn check_roll(state: &RouterState, number: u64) -> Result<(), Problem> {
    if !state.fleet.is_read {
        return Err(Problem::not_run(
            503,
            "the key-value service hasn't been read yet",
        ));
    }
    if state.roll.is_some() {
        return Err(Problem::not_run(
            409,
            "another roll is in progress at this router",
        ));
    }
    if !state.fleet.bundles.contains_key(&number) {
        return Err(Problem::not_run(
            404,
            format!("bundle {number} doesn't exist"),
        ));
    }
    if !state.fleet.approvals.contains_key(&number) {
        let detail = format!("bundle {number} isn't approved; another operator has to approve it");
        return Err(Problem::not_run(409, detail));
    }
    let head = state.head.head.number;
    if number <= head {
        let detail = format!("found {number}, expected a number above {head}, which is in force");
        return Err(Problem::not_run(409, detail));
    }
    let unmet: Vec<_> = state
        .peers
        .iter()
        .filter(|(_, p)| p.addr.is_some() && !p.has_replied)
        .map(|(id, _)| id.to_string())
        .collect();
    if !unmet.is_empty() {
        let detail = format!(
            "this router has had no reply from {} yet; use another router",
            unmet.join(", ")
        );
        return Err(Problem::not_run(503, detail));
    }
    Ok(())
}

/// Writes the head, again and again until the result is known.
pub(super) fn on_tick(state: &mut RouterState, now: Millis, out: &mut Vec<Effect>) {
    let in_flight = state.has_call(|p| *p == CallPurpose::Roll);
    let Some(roll) = &mut state.roll else {
        return;
    };
    if now >= roll.started_at + REPLY_TIMEOUT_MS {
        if let Some(job) = roll.operator_call.take() {
            let detail =
                "the key-value service doesn't answer; check the status before trying again";
            out.push(Effect::Reply {
                job,
                reply: OperatorReply::Problem(Problem::unknown(504, detail)),
            });
        }
    }
    if in_flight || now < roll.retry_at {
        return;
    }
    let number = roll.head.number;
    let op = StoreCall::Transaction {
        checks: vec![RevisionCheck {
            key: Keys::HEAD.to_string(),
            revision: roll.revision,
        }],
        puts: vec![KeyWrite {
            key: Keys::HEAD.to_string(),
            value: serde_json::to_string(&roll.head).unwrap_or_default(),
            lease: None,
        }],
        deletes: old_bundle_keys(number),
        reads: vec![Keys::HEAD.to_string()],
    };
    state.call_store(CallPurpose::Roll, op, out);
}

/// Older bundles that are kept when a new one is put in force.
const MAX_OLD_BUNDLES: u64 = 32;

/// Keys to delete when a bundle is put in force: those of the bundle `MAX_OLD_BUNDLES` before it.
fn old_bundle_keys(number: u64) -> Vec<String> {
    match number.checked_sub(MAX_OLD_BUNDLES) {
        Some(old) if old > 0 => vec![Keys::bundle(old), Keys::approval(old)],
        _ => Vec::new(),
    }
}

/// Handles the result of the write. If the reply was lost, the nonce of the head that is found
/// tells whether the write took effect.
pub(super) fn on_written(
    state: &mut RouterState,
    now: Millis,
    result: StoreResult,
    out: &mut Vec<Effect>,
) {
    let Some(roll) = &mut state.roll else {
        return;
    };
    match result {
        Ok(StoreReply::Transaction {
            done: true,
            revision,
            ..
        }) => on_accepted(state, now, revision, out),
        Ok(StoreReply::Transaction { entries, .. }) => {
            let entry = entries.into_iter().find(|e| e.key == Keys::HEAD);
            let found = entry.and_then(|e| {
                let head: Head = serde_json::from_str(&e.value).ok()?;
                Some((head, e.revision))
            });
            let (found, revision) = found.unwrap_or_default();
            if found.nonce == roll.head.nonce {
                on_accepted(state, now, revision, out);
            } else if found.number >= roll.head.number {
                on_lost_race(state, now, found, revision, out);
            } else {
                roll.revision = revision;
                roll.retry_at = now;
            }
        }
        _ => roll.retry_at = now + RETRY_INTERVAL_MS,
    }
}

/// Handles a head that is known to be written: puts its bundle in force and answers the operator.
fn on_accepted(state: &mut RouterState, now: Millis, revision: i64, out: &mut Vec<Effect>) {
    let Some(roll) = state.roll.take() else {
        return;
    };
    let number = roll.head.number;
    let event = LogEvent::new(LogCode::BundleRolled)
        .with("bundle", number)
        .with("by", &roll.head.by);
    out.push(Effect::Log(event));
    head::on_head(state, now, roll.head, revision, out);
    if let Some(job) = roll.operator_call {
        out.push(Effect::Reply {
            job,
            reply: OperatorReply::Rolled(number),
        });
    }
}

/// Handles another head with the same or a higher number, which is in force instead.
fn on_lost_race(
    state: &mut RouterState,
    now: Millis,
    found: Head,
    revision: i64,
    out: &mut Vec<Effect>,
) {
    let Some(roll) = state.roll.take() else {
        return;
    };
    let detail = format!(
        "bundle {}, rolled by {}, is in force",
        found.number, found.by
    );
    head::on_head(state, now, found, revision, out);
    if let Some(job) = roll.operator_call {
        out.push(Effect::Reply {
            job,
            reply: OperatorReply::Problem(Problem::not_run(409, detail)),
        });
    }
}
