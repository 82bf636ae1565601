use std::collections::BTreeMap;

use super::{
    AgentParams, ClaimMemory, EndpointLoad, FullQueue, Grant, JobQueue, LedGroup, RunningJob,
};
use crate::logic::{Peer, PeerRole, Rules};
use crate::message::{Report, RunId};
use crate::types::{Brief, InstanceId, Millis};

/// Complete state of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentState {
    /// Safety rules; only the model check turns any off.
    pub rules: Rules,
    /// Parameters.
    pub params: AgentParams,
    /// Own instance.
    pub own_id: InstanceId,
    /// Random number of this process.
    pub incarnation: u64,
    /// Grants nothing before this time.
    pub grants_from: Millis,
    /// Agents' part of the newest bundle received.
    pub brief: Brief,
    /// Highest epoch seen in a lease request or an assigned record.
    pub seen_epoch: u64,
    /// The presence grant in force.
    pub grant: Option<Grant>,
    /// Load order of the own endpoint and its progress.
    pub load: Option<EndpointLoad>,
    /// Group that this agent leads.
    pub lead: Option<LedGroup>,
    /// Waiting requests.
    pub queue: JobQueue,
    /// Requests that were refused as the memory for waiting ones was in use.
    pub full_queue: FullQueue,
    /// Requests handed to the endpoint.
    pub running: BTreeMap<RunId, RunningJob>,
    /// Claimed requests, which may not be repeated.
    pub memory: ClaimMemory,
    /// Routers with a session, and when each last sent an order to run a request.
    pub routers: BTreeMap<InstanceId, Option<Millis>>,
    /// When the agent began to leave.
    pub leaving_at: Option<Millis>,
    /// Whether the process exits once it has nothing left to do.
    pub stopping: bool,
    /// Last report sent.
    pub last_report: Report,
    /// When it was sent; at first, when the agent started.
    pub reported_at: Millis,
    /// Moving mean of the run times by priority, in milliseconds.
    pub mean_times: BTreeMap<u8, Millis>,
}

impl AgentState {
    /// State of an agent that starts at `now`.
    ///
    /// It may have granted a lease just before a restart, so it grants nothing for the length of a
    /// lease and its margin.
    pub fn new(own_id: InstanceId, incarnation: u64, now: Millis, params: AgentParams) -> Self {
        let wait = params.lease_ms + params.margin_ms;
        Self {
            rules: Rules::default(),
            grants_from: now + wait,
            queue: JobQueue::default(),
            full_queue: FullQueue::default(),
            params,
            own_id,
            incarnation,
            brief: Brief::default(),
            seen_epoch: 0,
            grant: None,
            load: None,
            lead: None,
            running: BTreeMap::new(),
            memory: ClaimMemory::default(),
            routers: BTreeMap::new(),
            leaving_at: None,
            stopping: false,
            last_report: Report::default(),
            reported_at: now,
            mean_times: BTreeMap::new(),
        }
    }

    /// The agent as others see it.
    pub fn as_peer(&self) -> Peer {
        Peer {
            id: self.own_id.clone(),
            incarnation: self.incarnation,
            role: PeerRole::Agent,
        }
    }

    /// Whether the agent has been ordered to leave or to shut down.
    pub fn is_leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// Whether new requests may be handed to the endpoint at `now`.
    pub fn is_open(&self, now: Millis) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        let present = !self.rules.all_present || lead.all_present(now);
        present && lead.all_ready() && !lead.is_draining()
    }

    /// Number of requests that wait or run.
    pub fn job_count(&self) -> usize {
        self.queue.len() + self.running.len()
    }
}
