use std::collections::BTreeMap;

use super::{grant, leave, runs, AgentState};
use crate::logic::{Effect, LogCode, LogEvent};
use crate::message::{LeaseAsk, Message, Refusal};
use crate::types::{GroupId, GroupRecord, InstanceId, Millis, Phase};

/// A member's presence lease as its leader records it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct MemberLease {
    /// Held before this time on the leader's clock.
    pub until: Millis,
    /// Whether the member's endpoint has loaded.
    pub ready: bool,
    /// Whether it has failed to load.
    pub failed: bool,
    /// Whether the member is leaving.
    pub leaving: bool,
}

/// A group that this agent leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedGroup {
    /// The group's record.
    pub record: GroupRecord,
    /// Number of the last round of lease requests.
    pub round: u64,
    /// When each round was sent whose grants can still count.
    pub round_times: BTreeMap<u64, Millis>,
    /// Leases of the members.
    pub leases: BTreeMap<InstanceId, MemberLease>,
    /// When the next round is due.
    pub next_round: Millis,
    /// When a member was first seen leaving.
    pub leaving_at: Option<Millis>,
    /// Whether the group drains: new requests are refused from now on.
    pub draining: bool,
    /// Whether a router has ordered the release of the group; the lead ends once it is idle.
    pub released: bool,
    /// Whether the group was open at the last tick.
    pub was_open: bool,
}

impl LedGroup {
    fn new(record: GroupRecord, now: Millis) -> Self {
        let leases = record
            .members
            .iter()
            .map(|m| (m.instance.clone(), MemberLease::default()))
            .collect();
        Self {
            draining: record.phase == Phase::Draining,
            record,
            round: 0,
            round_times: BTreeMap::new(),
            leases,
            next_round: now,
            leaving_at: None,
            released: false,
            was_open: false,
        }
    }

    /// Whether every member's lease is held at `now`.
    pub fn all_present(&self, now: Millis) -> bool {
        self.leases.values().all(|h| now < h.until)
    }

    /// Whether every member has loaded.
    pub fn all_ready(&self) -> bool {
        self.leases.values().all(|h| h.ready)
    }

    /// Whether the group drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// When the first of the members' leases ends; from then on no start or load order is sent to
    /// the endpoint.
    pub fn valid_until(&self) -> Millis {
        self.leases.values().map(|h| h.until).min().unwrap_or(0)
    }
}

/// Takes the lead of a group under a new epoch. Under the epoch that is led already, only the
/// phase is applied.
pub(super) fn on_assign(
    state: &mut AgentState,
    now: Millis,
    record: GroupRecord,
    out: &mut Vec<Effect>,
) {
    if record.members.is_empty() || record.leader().instance != state.own_id {
        return;
    }
    if let Some(lead) = &mut state.lead {
        if lead.record.epoch == record.epoch {
            lead.record.phase = lead.record.phase.max(record.phase);
            if lead.record.phase == Phase::Draining {
                drain(state, out);
            }
            return;
        }
    }
    if record.epoch <= state.seen_epoch {
        return;
    }
    end_lead(state, Some(&record), out);
    state.seen_epoch = record.epoch;
    let event = LogEvent::new(LogCode::LeadTaken)
        .with("group", &record.id)
        .with("epoch", record.epoch)
        .with("members", record.members.len());
    out.push(Effect::Log(event));
    for member in record.members.iter().filter(|m| m.instance != state.own_id) {
        out.push(Effect::OpenSession {
            to: member.instance.clone(),
            addr: member.addr,
        });
    }
    state.lead = Some(LedGroup::new(record, now));
    request_leases(state, now, out);
}

/// Requests a presence lease from every member, when a round is due.
pub(super) fn request_leases(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if now < lead.next_round {
        return;
    }
    lead.round += 1;
    lead.next_round = now + state.params.ask_ms;
    let oldest = now.saturating_sub(state.params.lease_ms);
    lead.round_times.retain(|_, at| *at >= oldest);
    lead.round_times.insert(lead.round, now);
    let requests: Vec<_> = (0..lead.record.members.len())
        .map(|rank| {
            (
                lead.record.members[rank].instance.clone(),
                lease_request(lead, rank, state.params.lease_ms),
            )
        })
        .collect();
    for (member, request) in requests {
        if member == state.own_id {
            request_own_lease(state, now, &request, out);
        } else {
            let message = Message::LeaseAsk(Box::new(request));
            out.push(Effect::Send {
                to: member,
                message,
            });
        }
    }
}

fn lease_request(lead: &LedGroup, rank: usize, lease_ms: Millis) -> LeaseAsk {
    let record = &lead.record;
    LeaseAsk {
        group: record.id.clone(),
        epoch: record.epoch,
        round: lead.round,
        lease_ms,
        rank: rank as u32,
        size: record.members.len() as u32,
        model: record.model.clone(),
        version: record.version.clone(),
        kind: record.kind,
        role: record.role,
        adapters: record.adapters.clone(),
    }
}

/// The leader is a member too, and grants its own presence by the same rules.
fn request_own_lease(
    state: &mut AgentState,
    now: Millis,
    request: &LeaseAsk,
    out: &mut Vec<Effect>,
) {
    let me = state.as_peer();
    if !grant::try_grant(state, now, &me, request, out) {
        return;
    }
    let load = state.load.as_ref();
    let lease = MemberLease {
        until: 0,
        ready: load.is_some_and(|s| s.is_ready(request.epoch)),
        failed: load.is_some_and(|s| s.has_failed(request.epoch)),
        leaving: state.is_leaving(),
    };
    on_lease_granted(state, now, &me.id, request.epoch, request.round, lease);
}

/// Records a member's grant; `until` of its lease is set here.
pub(super) fn on_lease_granted(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    epoch: u64,
    round: u64,
    lease: MemberLease,
) {
    let from_request = state.rules.early_clock;
    let lease_ms = state.params.lease_ms;
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.record.epoch != epoch {
        return;
    }
    let Some(sent_at) = lead.round_times.get(&round).copied() else {
        return;
    };
    let Some(held) = lead.leases.get_mut(from) else {
        return;
    };
    let start = if from_request { sent_at } else { now };
    let until = held.until.max(start + lease_ms);
    *held = MemberLease { until, ..lease };
    if lease.leaving && lead.leaving_at.is_none() {
        lead.leaving_at = Some(now);
    }
}

/// Logs that a member has seen a higher epoch, so that this group's record is outdated.
pub(super) fn on_lease_denied(
    state: &mut AgentState,
    from: &InstanceId,
    epoch: u64,
    seen: u64,
    out: &mut Vec<Effect>,
) {
    let Some(lead) = &state.lead else {
        return;
    };
    if lead.record.epoch == epoch && seen > epoch {
        let event = LogEvent::new(LogCode::PresenceDenied)
            .with("group", &lead.record.id)
            .with("epoch", epoch)
            .with("member", from)
            .with("seen", seen);
        out.push(Effect::Log(event));
    }
}

/// Handles a router's order to release the group: it drains, and the lead ends once it is idle.
pub(super) fn on_release(
    state: &mut AgentState,
    group: &GroupId,
    epoch: u64,
    out: &mut Vec<Effect>,
) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if &lead.record.id == group && lead.record.epoch <= epoch {
        lead.released = true;
        drain(state, out);
    }
}

/// Refuses new requests from now on, and those that wait.
pub(super) fn drain(state: &mut AgentState, out: &mut Vec<Effect>) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.draining {
        return;
    }
    lead.draining = true;
    let event = LogEvent::new(LogCode::Draining).with("group", &lead.record.id);
    out.push(Effect::Log(event));
    runs::refuse_waiting(state, &Refusal::Draining, out);
}

/// Ends the lead: waiting requests are refused, running ones are cancelled with an unknown outcome,
/// and the members' grants are returned.
///
/// Members that also belong to `next` keep their grant; the leader's next request replaces it.
pub(super) fn end_lead(state: &mut AgentState, next: Option<&GroupRecord>, out: &mut Vec<Effect>) {
    let Some(lead) = state.lead.take() else {
        return;
    };
    runs::refuse_waiting(state, &Refusal::Epoch, out);
    runs::cancel_running(state, out);
    let event = LogEvent::new(LogCode::LeadEnded)
        .with("group", &lead.record.id)
        .with("epoch", lead.record.epoch);
    out.push(Effect::Log(event));
    for member in &lead.record.members {
        if next.is_some_and(|n| n.has(&member.instance)) {
            continue;
        }
        return_lease(state, &lead, &member.instance, out);
    }
}

fn return_lease(
    state: &mut AgentState,
    lead: &LedGroup,
    member: &InstanceId,
    out: &mut Vec<Effect>,
) {
    let group = lead.record.id.clone();
    let epoch = lead.record.epoch;
    if *member == state.own_id {
        let me = state.as_peer();
        grant::on_lease_returned(state, &me, &group, epoch, out);
        return;
    }
    out.push(Effect::Send {
        to: member.clone(),
        message: Message::LeaseReturn { group, epoch },
    });
    out.push(Effect::CloseSession(member.clone()));
}

/// Whether a higher epoch has been seen and the own grant to the epoch that is led is gone.
fn is_superseded(state: &AgentState) -> bool {
    let Some(lead) = &state.lead else {
        return false;
    };
    let epoch = lead.record.epoch;
    let granted = state.grant.as_ref().is_some_and(|g| g.epoch == epoch);
    state.seen_epoch > epoch && !granted
}

/// Renews the leases, drains for leaving members, logs when the group opens or closes, and ends
/// the lead when it is superseded or, after a drain, idle.
pub(super) fn on_tick(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if is_superseded(state) {
        end_lead(state, None, out);
    }
    request_leases(state, now, out);
    leave::drain_if_due(state, now, out);
    let open = state.is_open(now);
    let idle = state.job_count() == 0;
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.was_open != open {
        lead.was_open = open;
        let code = if open {
            LogCode::GroupOpen
        } else {
            LogCode::GroupClosed
        };
        let missing: Vec<_> = lead
            .leases
            .iter()
            .filter(|(_, h)| now >= h.until)
            .map(|(i, _)| i.to_string())
            .collect();
        let event = LogEvent::new(code)
            .with("group", &lead.record.id)
            .with("epoch", lead.record.epoch)
            .with("missing", missing.join(","));
        out.push(Effect::Log(event));
    }
    let planned = lead.record.phase == Phase::Draining;
    let ends = planned || lead.released || lead.leaving_at.is_some();
    if lead.draining && ends && idle {
        end_lead(state, None, out);
    }
}
