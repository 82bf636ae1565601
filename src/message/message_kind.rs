use serde::{Deserialize, Serialize};

use super::{
    AttemptEnd, ClaimVerdict, ClaimWrite, HeadReply, LeaseAsk, LoadReport, Once, Recall, Report,
    RunId, RunOrder,
};
use crate::types::{Brief, GroupId, GroupRecord, Millis};

/// Every message between processes of the system.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Router to leader: lead this group.
    Assign(Box<GroupRecord>),
    /// Router to leader: the group has left its domain's record; drain and give it up.
    Release {
        /// The group.
        group: GroupId,
        /// Highest epoch that is released.
        epoch: u64,
    },
    /// Router to agent: the platform lists this instance as leaving.
    Leave,
    /// Router to agent, leader to member: a newer bundle.
    Brief(Brief),
    /// Router to leader: run an attempt.
    Run(Box<RunOrder>),
    /// Router to leader: stop an attempt, or never start it.
    Cancel(RunId),
    /// Router to agent: what became of this claimed key?
    Query {
        /// Attempt of the asking router, to which pieces shall go.
        run: RunId,
        /// The claim: its key, its attempt, how long the answer must stay true.
        once: Once,
        /// Incarnation stored in the claim.
        incarnation: u64,
        /// Whether an attempt that hasn't been seen shall be barred from starting.
        bar: bool,
    },
    /// Agent to router: answer to a query.
    Recalled {
        /// The asking router's attempt.
        run: RunId,
        /// What is remembered.
        recall: Recall,
    },
    /// Agent to router: state of agent and group.
    Report(Box<Report>),
    /// Agent to router: load of the group it leads.
    Load(LoadReport),
    /// Agent to router: the next piece of an answer.
    Piece {
        /// The attempt.
        run: RunId,
        /// Number of pieces before this one, from the request's start.
        offset: u64,
        /// The text.
        text: String,
    },
    /// Agent to router: an attempt has ended.
    End {
        /// The attempt.
        run: RunId,
        /// How.
        end: AttemptEnd,
    },
    /// Leader to member: grant presence.
    LeaseAsk(Box<LeaseAsk>),
    /// Member to leader: granted.
    LeaseGrant {
        /// Incarnation of the leader that asked.
        holder: u64,
        /// Epoch of the grant.
        epoch: u64,
        /// Round that is answered.
        round: u64,
        /// Whether the member's endpoint has loaded.
        ready: bool,
        /// Whether the member's endpoint failed to load.
        failed: bool,
        /// Whether the member is leaving.
        leaving: bool,
        /// The member's bundle number.
        bundle: u64,
    },
    /// Member to leader: not granted.
    LeaseDeny {
        /// Epoch that was asked for.
        epoch: u64,
        /// Highest epoch the member has seen.
        seen: u64,
    },
    /// Leader to member: the grant is given back.
    LeaseReturn {
        /// The group.
        group: GroupId,
        /// The epoch.
        epoch: u64,
    },
    /// Router to router: which bundle do you know to be in force?
    HeadAsk {
        /// The asker's clock, echoed in the answer.
        asked_at: Millis,
        /// Number of the asker's bundle.
        number: u64,
    },
    /// Router to router: answer.
    HeadReply(HeadReply),
    /// Router to router: write these claims together with others.
    ClaimAsk(Vec<ClaimWrite>),
    /// Router to router: what became of claims.
    ClaimReply(Vec<(ClaimWrite, ClaimVerdict)>),
}
