use std::net::SocketAddr;
use std::sync::Arc;

use super::Problem;
use crate::message::{ClaimKey, RunId};
use crate::types::{GroupId, InstanceId, Millis, ModelKind, RequestId};

/// Stage of a request in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Dispatched again at this time.
    Delayed(Millis),
    /// Its claim is being written, bound to this agent.
    Claiming {
        /// Agent of the chosen group.
        agent: InstanceId,
        /// The group.
        group: GroupId,
    },
    /// Sent to a group's leader.
    Sent {
        /// The leader.
        agent: InstanceId,
        /// The group; absent where the run was found through its claim.
        group: Option<GroupId>,
    },
    /// Its claim is being released; this answer follows.
    Releasing(Box<Problem>),
    /// The agent named in its claim is queried about what became of it.
    Querying {
        /// That agent.
        agent: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
        /// Time of the next query.
        ask_at: Millis,
        /// Whether the next query bars the attempt from running if the agent hasn't seen it.
        bar: bool,
    },
}

/// Claim of a request that may not be repeated, as the router knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimState {
    /// Its key.
    pub key: ClaimKey,
    /// Hash of the request's content.
    pub content: ClaimKey,
    /// Attempt number in the claim; 0 before it exists.
    pub attempt: u32,
    /// Incarnation of the agent in the claim.
    pub incarnation: u64,
    /// Revision of the claim; 0 before it exists.
    pub revision: i64,
    /// Whether this request wrote the claim that stands, or may have.
    pub is_own: bool,
}

/// One request in flight at a router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Client account.
    pub account: Arc<str>,
    /// The account's share.
    pub share: u32,
    /// Class.
    pub class: Arc<str>,
    /// Priority of the class.
    pub priority: u8,
    /// Model or service.
    pub model: Arc<str>,
    /// Kind of endpoint.
    pub kind: ModelKind,
    /// Path at the endpoint.
    pub path: Arc<str>,
    /// Body.
    pub body: Arc<str>,
    /// When it arrived.
    pub arrived_at: Millis,
    /// When its deadline passes.
    pub deadline: Millis,
    /// State of its claim; present if it may not be repeated.
    pub claim: Option<ClaimState>,
    /// Its stage.
    pub stage: Stage,
    /// Number of the last attempt; queries to agents count too.
    pub attempt: u32,
    /// Whether an earlier attempt may have run.
    pub maybe_ran: bool,
    /// Pieces passed on to the caller.
    pub delivered: u64,
    /// Their text, for an attempt that continues after them.
    pub delivered_text: String,
    /// Group of the last attempt that was refused or broke; avoided if there is another one.
    pub avoid_group: Option<GroupId>,
}

impl Request {
    /// Id of the present attempt.
    pub fn run_id(&self) -> RunId {
        RunId {
            request: self.id,
            attempt: self.attempt,
        }
    }

    /// Group of the attempt in flight.
    pub fn group(&self) -> Option<&GroupId> {
        match &self.stage {
            Stage::Sent { group, .. } => group.as_ref(),
            _ => None,
        }
    }

    /// Time left until the deadline, in milliseconds.
    pub fn remaining_ms(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }
}
