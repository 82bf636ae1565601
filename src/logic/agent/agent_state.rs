use std::collections::BTreeMap;

use super::{AgentKnobs, Grant, JobQueue, Lead, OnceMemory, Running, Share};
use crate::logic::{Peer, PeerRole, Rules};
use crate::message::{Report, RunId};
use crate::types::{Brief, InstanceId, Millis};

/// Whole state of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AgentState {
    /// Safety rules; all on outside the model check.
    pub rules: Rules,
    /// Numbers it decides by.
    pub knobs: AgentKnobs,
    /// Own instance.
    pub me: InstanceId,
    /// Random number of this process.
    pub incarnation: u64,
    /// Grants nothing before this time.
    pub ready_at: Millis,
    /// Agents' part of the newest bundle it has heard of.
    pub brief: Brief,
    /// Highest epoch granted, led or given up.
    pub seen_epoch: u64,
    /// Presence granted now.
    pub grant: Option<Grant>,
    /// What the own endpoint has loaded or is loading.
    pub share: Option<Share>,
    /// Group that is led from here.
    pub lead: Option<Lead>,
    /// Requests that wait.
    pub queue: JobQueue,
    /// Requests handed to the endpoint.
    pub running: BTreeMap<RunId, Running>,
    /// Requests that may not be repeated.
    pub memory: OnceMemory,
    /// Routers with a session, and when each sent its last order.
    pub routers: BTreeMap<InstanceId, Option<Millis>>,
    /// When leaving began.
    pub leaving_at: Option<Millis>,
    /// Whether the process ends once it has nothing left to do.
    pub stopping: bool,
    /// Report sent last.
    pub reported: Report,
    /// When it was sent.
    pub reported_at: Millis,
    /// Mean time of a run by priority, in milliseconds.
    pub means: BTreeMap<u8, Millis>,
}

impl AgentState {
    /// State of an agent that starts at `now`.
    ///
    /// It may have granted a lease just before a restart, so it waits for the
    /// length of one.
    pub fn new(me: InstanceId, incarnation: u64, now: Millis, knobs: AgentKnobs) -> Self {
        let wait = knobs.lease_ms + knobs.margin_ms;
        Self {
            rules: Rules::default(),
            ready_at: now + wait,
            queue: JobQueue::default(),
            knobs,
            me,
            incarnation,
            brief: Brief::default(),
            seen_epoch: 0,
            grant: None,
            share: None,
            lead: None,
            running: BTreeMap::new(),
            memory: OnceMemory::default(),
            routers: BTreeMap::new(),
            leaving_at: None,
            stopping: false,
            reported: Report::default(),
            reported_at: now,
            means: BTreeMap::new(),
        }
    }

    /// The agent as others see it.
    pub fn as_peer(&self) -> Peer {
        Peer {
            id: self.me.clone(),
            incarnation: self.incarnation,
            role: PeerRole::Agent,
        }
    }

    /// Whether the agent has been told to leave or to stop.
    pub fn leaving(&self) -> bool {
        self.leaving_at.is_some()
    }

    /// Whether new work may be handed to the endpoint at `now`.
    pub fn open(&self, now: Millis) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        let present = !self.rules.all_present || lead.all_present(now);
        present && lead.all_ready() && !lead.draining()
    }

    /// Requests waiting or running.
    pub fn busy(&self) -> usize {
        self.queue.len() + self.running.len()
    }
}
