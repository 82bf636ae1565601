use serde::{Deserialize, Serialize};

use super::{
    AttemptEnd, ClaimVerdict, ClaimWrite, HeadReply, LeaseAsk, LoadReport, Once, Recall, Report,
    RunId, RunOrder,
};
use crate::types::{Brief, GroupId, GroupRecord, Millis};

/// A message between processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Router to leader: lead this group.
    Assign(Box<GroupRecord>),
    /// Router to leader: the group was removed from its domain's record; drain it and then
    /// stop leading it.
    Release {
        /// Group that was removed.
        group: GroupId,
        /// Highest epoch of the group that is released.
        epoch: u64,
    },
    /// Router to agent: the platform lists this instance as leaving.
    Leave,
    /// Router to agent, leader to member: the agents' part of a newer bundle.
    Brief(Brief),
    /// Router to leader: run an attempt.
    Run(Box<RunOrder>),
    /// Router to leader: cancel an attempt. A running request that may not be repeated is
    /// not stopped.
    Cancel(RunId),
    /// Router to agent: request for the state of a claimed key.
    Query {
        /// Attempt of the querying router; pieces of the answer are sent under this id.
        run: RunId,
        /// Key and attempt of the claim, and how long the agent has to remember its reply.
        once: Once,
        /// Incarnation stored in the claim.
        incarnation: u64,
        /// Whether an attempt that the agent hasn't seen is to be barred from starting.
        bar: bool,
    },
    /// Agent to router: reply to a query.
    Recalled {
        /// Attempt of the querying router.
        run: RunId,
        /// State of the claimed key.
        recall: Recall,
    },
    /// Agent to router: state of the agent and of the group it leads.
    Report(Box<Report>),
    /// Agent to router: load of the group that the agent leads.
    Load(LoadReport),
    /// Agent to router: the next piece of an answer.
    Piece {
        /// Attempt that the piece is for.
        run: RunId,
        /// Number of pieces before this one, including those of earlier attempts.
        offset: u64,
        /// Text of the piece.
        text: String,
    },
    /// Agent to router: an attempt has ended.
    End {
        /// Attempt that has ended.
        run: RunId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// Leader to member: request for a presence lease.
    LeaseAsk(Box<LeaseAsk>),
    /// Member to leader: the presence lease is granted.
    LeaseGrant {
        /// Incarnation of the leader that requested the lease.
        holder: u64,
        /// Epoch of the lease.
        epoch: u64,
        /// Round of the request.
        round: u64,
        /// Whether the member's endpoint has loaded.
        ready: bool,
        /// Whether the member's endpoint failed to load.
        failed: bool,
        /// Whether the member is leaving.
        leaving: bool,
        /// Number of the member's bundle.
        bundle: u64,
    },
    /// Member to leader: the presence lease is denied.
    LeaseDeny {
        /// Epoch that was requested.
        epoch: u64,
        /// Highest epoch that the member has seen.
        seen: u64,
    },
    /// Leader to member: the leader gives the presence lease back.
    LeaseReturn {
        /// Group of the lease.
        group: GroupId,
        /// Epoch of the lease.
        epoch: u64,
    },
    /// Router to router: request for the number of the bundle in force.
    HeadAsk {
        /// Time on the requesting router's clock, in milliseconds; echoed in the reply.
        asked_at: Millis,
        /// Number of the bundle in force at the requesting router.
        number: u64,
    },
    /// Router to router: reply to `HeadAsk`.
    HeadReply(HeadReply),
    /// Router to router: request to write claims, batched with those of other routers.
    ClaimAsk(Vec<ClaimWrite>),
    /// Router to router: results of the claim writes that were requested.
    ClaimReply(Vec<(ClaimWrite, ClaimVerdict)>),
}
