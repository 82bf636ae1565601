use std::collections::BTreeMap;

use super::{grant, leave, runs, AgentState};
use crate::logic::{Effect, Note, NoteCode};
use crate::message::{LeaseAsk, Message, Refusal};
use crate::types::{GroupId, GroupRecord, InstanceId, Millis, Phase};

/// A member's lease as its leader counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Hold {
    /// Held before this time on the leader's clock.
    pub until: Millis,
    /// Whether the member's endpoint has loaded.
    pub ready: bool,
    /// Whether it failed to.
    pub failed: bool,
    /// Whether the member is leaving.
    pub leaving: bool,
}

/// A group that is led from here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lead {
    /// The group's record.
    pub record: GroupRecord,
    /// Round asked last.
    pub round: u64,
    /// When each round that can still be answered was asked.
    pub asked: BTreeMap<u64, Millis>,
    /// Leases of the members.
    pub holds: BTreeMap<InstanceId, Hold>,
    /// When the next round is due.
    pub next_ask: Millis,
    /// When a member was first seen leaving.
    pub leaving_at: Option<Millis>,
    /// Whether new work is refused for good.
    pub drain: bool,
    /// Whether the group is given up once it is idle.
    pub released: bool,
    /// Whether the group was open at the last look.
    pub was_open: bool,
}

impl Lead {
    fn new(record: GroupRecord, now: Millis) -> Self {
        let holds = record
            .members
            .iter()
            .map(|m| (m.instance.clone(), Hold::default()))
            .collect();
        Self {
            drain: record.phase == Phase::Draining,
            record,
            round: 0,
            asked: BTreeMap::new(),
            holds,
            next_ask: now,
            leaving_at: None,
            released: false,
            was_open: false,
        }
    }

    /// Whether every member's lease is held at `now`.
    pub fn all_present(&self, now: Millis) -> bool {
        self.holds.values().all(|h| now < h.until)
    }

    /// Whether every member has loaded.
    pub fn all_ready(&self) -> bool {
        self.holds.values().all(|h| h.ready)
    }

    /// Whether new work is refused for good.
    pub fn draining(&self) -> bool {
        self.drain
    }

    /// The time before which work may be handed over on what is known now.
    pub fn valid_until(&self) -> Millis {
        self.holds.values().map(|h| h.until).min().unwrap_or(0)
    }
}

/// Takes up the lead of a group, or a newer form of it.
pub(super) fn assigned(
    state: &mut AgentState,
    now: Millis,
    record: GroupRecord,
    out: &mut Vec<Effect>,
) {
    if record.members.is_empty() || record.leader().instance != state.me {
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
    give_up(state, Some(&record), out);
    state.seen_epoch = record.epoch;
    let note = Note::new(NoteCode::LeadTaken)
        .with("group", &record.id)
        .with("epoch", record.epoch)
        .with("members", record.members.len());
    out.push(Effect::Note(note));
    for member in record.members.iter().filter(|m| m.instance != state.me) {
        out.push(Effect::Dial {
            to: member.instance.clone(),
            addr: member.addr,
        });
    }
    state.lead = Some(Lead::new(record, now));
    ask_round(state, now, out);
}

/// Asks every member for its presence, when that is due.
pub(super) fn ask_round(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if now < lead.next_ask {
        return;
    }
    lead.round += 1;
    lead.next_ask = now + state.knobs.ask_ms;
    let oldest = now.saturating_sub(state.knobs.lease_ms);
    lead.asked.retain(|_, at| *at >= oldest);
    lead.asked.insert(lead.round, now);
    let asks: Vec<_> = (0..lead.record.members.len())
        .map(|rank| {
            (
                lead.record.members[rank].instance.clone(),
                ask_for(lead, rank, state.knobs.lease_ms),
            )
        })
        .collect();
    for (member, ask) in asks {
        if member == state.me {
            ask_self(state, now, &ask, out);
        } else {
            let message = Message::LeaseAsk(Box::new(ask));
            out.push(Effect::Send {
                to: member,
                message,
            });
        }
    }
}

fn ask_for(lead: &Lead, rank: usize, lease_ms: Millis) -> LeaseAsk {
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

/// The leader is a member too and grants its own presence by the same rules.
fn ask_self(state: &mut AgentState, now: Millis, ask: &LeaseAsk, out: &mut Vec<Effect>) {
    let me = state.as_peer();
    if !grant::consider(state, now, &me, ask, out) {
        return;
    }
    let share = state.share.as_ref();
    let hold = Hold {
        until: 0,
        ready: share.is_some_and(|s| s.ready(ask.epoch)),
        failed: share.is_some_and(|s| s.failed(ask.epoch)),
        leaving: state.leaving(),
    };
    granted(state, now, &me.id, ask.epoch, ask.round, hold);
}

/// Counts a member's grant. `hold.until` is worked out here.
pub(super) fn granted(
    state: &mut AgentState,
    now: Millis,
    from: &InstanceId,
    epoch: u64,
    round: u64,
    hold: Hold,
) {
    let early = state.rules.early_clock;
    let lease_ms = state.knobs.lease_ms;
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.record.epoch != epoch {
        return;
    }
    let Some(asked_at) = lead.asked.get(&round).copied() else {
        return;
    };
    let Some(held) = lead.holds.get_mut(from) else {
        return;
    };
    let start = if early { asked_at } else { now };
    let until = held.until.max(start + lease_ms);
    *held = Hold { until, ..hold };
    if hold.leaving && lead.leaving_at.is_none() {
        lead.leaving_at = Some(now);
    }
}

/// A member has seen a higher epoch: this group's record is out of date.
pub(super) fn denied(
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
        let note = Note::new(NoteCode::PresenceDenied)
            .with("group", &lead.record.id)
            .with("epoch", epoch)
            .with("member", from)
            .with("seen", seen);
        out.push(Effect::Note(note));
    }
}

/// Marks the group as released by its record and drains it.
pub(super) fn released(state: &mut AgentState, group: &GroupId, epoch: u64, out: &mut Vec<Effect>) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if &lead.record.id == group && lead.record.epoch <= epoch {
        lead.released = true;
        drain(state, out);
    }
}

/// Refuses new work for good and hands back what waits.
pub(super) fn drain(state: &mut AgentState, out: &mut Vec<Effect>) {
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.drain {
        return;
    }
    lead.drain = true;
    let note = Note::new(NoteCode::Draining).with("group", &lead.record.id);
    out.push(Effect::Note(note));
    runs::refuse_waiting(state, &Refusal::Draining, out);
}

/// Gives the lead up: what runs is broken, what waits is refused, grants go back.
///
/// Members that also belong to `next` keep their grant; the leader's next
/// request replaces it.
pub(super) fn give_up(state: &mut AgentState, next: Option<&GroupRecord>, out: &mut Vec<Effect>) {
    let Some(lead) = state.lead.take() else {
        return;
    };
    runs::refuse_waiting(state, &Refusal::Epoch, out);
    runs::break_running(state, out);
    let note = Note::new(NoteCode::LeadEnded)
        .with("group", &lead.record.id)
        .with("epoch", lead.record.epoch);
    out.push(Effect::Note(note));
    for member in &lead.record.members {
        if next.is_some_and(|n| n.has(&member.instance)) {
            continue;
        }
        return_to(state, &lead, &member.instance, out);
    }
}

fn return_to(state: &mut AgentState, lead: &Lead, member: &InstanceId, out: &mut Vec<Effect>) {
    let group = lead.record.id.clone();
    let epoch = lead.record.epoch;
    if *member == state.me {
        let me = state.as_peer();
        grant::returned(state, &me, &group, epoch, out);
        return;
    }
    out.push(Effect::Send {
        to: member.clone(),
        message: Message::LeaseReturn { group, epoch },
    });
    out.push(Effect::Hangup(member.clone()));
}

/// Whether the record has moved on and the own presence has run out.
fn overtaken(state: &AgentState) -> bool {
    let Some(lead) = &state.lead else {
        return false;
    };
    let epoch = lead.record.epoch;
    let granted = state.grant.as_ref().is_some_and(|g| g.epoch == epoch);
    state.seen_epoch > epoch && !granted
}

/// Looks after the group as time passes: drains for leaving members, ends when idle.
pub(super) fn tend(state: &mut AgentState, now: Millis, out: &mut Vec<Effect>) {
    if overtaken(state) {
        give_up(state, None, out);
    }
    ask_round(state, now, out);
    leave::tend_group(state, now, out);
    let open = state.open(now);
    let idle = state.busy() == 0;
    let Some(lead) = &mut state.lead else {
        return;
    };
    if lead.was_open != open {
        lead.was_open = open;
        let code = if open {
            NoteCode::GroupOpen
        } else {
            NoteCode::GroupClosed
        };
        let missing: Vec<_> = lead
            .holds
            .iter()
            .filter(|(_, h)| now >= h.until)
            .map(|(i, _)| i.to_string())
            .collect();
        let note = Note::new(code)
            .with("group", &lead.record.id)
            .with("epoch", lead.record.epoch)
            .with("missing", missing.join(","));
        out.push(Effect::Note(note));
    }
    let planned = lead.record.phase == Phase::Draining;
    let ends = planned || lead.released || lead.leaving_at.is_some();
    if lead.drain && ends && idle {
        give_up(state, None, out);
    }
}
