use std::net::SocketAddr;
use std::sync::Arc;

use super::Problem;
use crate::message::{ClaimKey, RunId};
use crate::types::{GroupId, InstanceId, Millis, ModelKind, RequestId};

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Tried again at this time.
    Parked(Millis),
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
    /// Its claim is being given back, then this answer goes out.
    Releasing(Box<Problem>),
    /// Asking the agent in the claim what became of it.
    Recalling {
        /// That agent.
        agent: InstanceId,
        /// Where it listens.
        addr: SocketAddr,
        /// Next time to ask.
        ask_at: Millis,
        /// Whether the next question bars an attempt that hasn't been seen.
        bar: bool,
    },
}

/// Claim of a request that may not be repeated, as the router knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct OnceClaim {
    /// Key.
    pub key: ClaimKey,
    /// Hash of the content.
    pub content: ClaimKey,
    /// Attempt in the claim; 0 before it exists.
    pub attempt: u32,
    /// Incarnation in the claim.
    pub incarnation: u64,
    /// Revision of the claim; 0 before it exists.
    pub revision: i64,
    /// Whether this request wrote the claim that stands, or may have.
    pub mine: bool,
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
    /// When it came.
    pub since: Millis,
    /// When its caller gives up.
    pub deadline: Millis,
    /// Present when it may not be repeated.
    pub once: Option<OnceClaim>,
    /// Where it stands.
    pub stage: Stage,
    /// Attempts made.
    pub attempt: u32,
    /// Whether an earlier attempt may have run.
    pub maybe_ran: bool,
    /// Pieces passed on to the caller.
    pub pieces: u64,
    /// Their text, for a run that continues behind them.
    pub text: String,
    /// Group that refused or broke the last attempt.
    pub avoid: Option<GroupId>,
}

impl Request {
    /// The present attempt.
    pub fn run(&self) -> RunId {
        RunId {
            request: self.id,
            attempt: self.attempt,
        }
    }

    /// Group of the attempt that is under way.
    pub fn group(&self) -> Option<&GroupId> {
        match &self.stage {
            Stage::Sent { group, .. } => group.as_ref(),
            _ => None,
        }
    }

    /// Time left until the deadline.
    pub fn left(&self, now: Millis) -> Millis {
        self.deadline.saturating_sub(now)
    }
}
