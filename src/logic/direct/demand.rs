//! What callers ask for, model by model, over the last seconds.
//!
//! Each router counts its own requests and tells the others; whoever plans adds them up.
//! Only requests that come for the first time count: what was refused and comes back
//! is the same demand.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::{peers, DirectState, ModelDemand, PeerMessage};
use crate::logic::Effect;
use crate::types::{EngineSpec, Millis};

/// Length of one slot of the window.
const SLOT_MS: Millis = 500;

/// Slots of the window, six seconds in all: a group of a small model gets over a hundred
/// requests within it, and a jump of the traffic shows before a load has ended.
const SLOTS: u64 = 12;

/// Time between two reports to other routers: a third of the shortest time in which a
/// group is traded and formed anew, so that a report is never older than a decision.
const TELL_MS: Millis = 1_000;

/// Time after which a router that tells nothing is no longer counted as told: three
/// reports lost in a row.
const STALE_MS: Millis = 4_000;

/// Time for which requests are counted before their rate is believed in place of the
/// published shares: four slots. A choice; other values were not measured.
const BELIEVED_MS: Millis = 2_000;

/// Part of an engine's slots at which its speed is reckoned, in hundredths. With all of
/// them taken, pauses grow long. A choice; other values were not measured.
const BATCH: u64 = 50;

/// What a token of an answer counts against one of a prompt: operators weigh requests
/// of one kind by tokens in and ten times the tokens out.
const ANSWER_WEIGHT: u64 = 10;

/// Requests of one router, by slot and model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Slots by number, the oldest first.
    slots: VecDeque<(u64, BTreeMap<Arc<str>, ModelDemand>)>,
    /// When the first request came.
    since: Option<Millis>,
    /// What other routers have told, and when.
    others: BTreeMap<SocketAddr, (Millis, Vec<ModelDemand>)>,
    /// When others are told next.
    tell_at: Millis,
}

impl Demand {
    /// What this router is asked for in a second, by model.
    fn own(&self, now: Millis) -> Vec<ModelDemand> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS);
        let mut sums: BTreeMap<Arc<str>, ModelDemand> = BTreeMap::new();
        for (_, models) in self.slots.iter().filter(|(slot, _)| *slot > oldest) {
            for demand in models.values() {
                let sum = sums
                    .entry(demand.model.clone())
                    .or_insert_with(|| ModelDemand::none(&demand.model));
                sum.work += demand.work;
                sum.value += demand.value;
            }
        }
        let span = now.saturating_sub(self.since.unwrap_or(now));
        let span = span.clamp(SLOT_MS, SLOTS * SLOT_MS);
        let a_second = |mut d: ModelDemand| {
            d.work = d.work * 1_000 / span;
            d.value = d.value * 1_000 / span;
            d
        };
        sums.into_values().map(a_second).collect()
    }

    /// Whether enough is known to weigh models against each other: requests were counted
    /// for some time, and all but a few routers have told theirs.
    pub(super) fn known(&self, now: Millis, peers: usize) -> bool {
        let told = self.others.values().filter(|(at, _)| now < *at + STALE_MS);
        self.age(now) >= BELIEVED_MS && told.count() * 4 >= peers * 3
    }

    /// How long requests have been counted.
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since.unwrap_or(now))
    }
}

/// Time that one request of this size takes a group, in microseconds, where the
/// engine works on half of what it can take at once.
pub(super) fn work_us(engine: &EngineSpec, model: &str, prompt: u64, answer: u64) -> u64 {
    let pace = engine.model(model).map_or(1_000, |m| m.pace);
    let batch = (u64::from(engine.slots) * BATCH / 100).max(1);
    let read = prompt * 1_000_000 / engine.read_rate.max(1);
    let step = engine.step_us / batch + engine.per_request_ns / 1_000;
    (read + answer * step) * pace / 1_000
}

/// Counts a request that comes for the first time.
pub(super) fn count(
    state: &mut DirectState,
    now: Millis,
    service: &str,
    model: &Arc<str>,
    prompt: u32,
    answer: u32,
) {
    let spec = state.routing.as_ref().and_then(|r| r.services.get(service));
    let Some(engine) = spec.and_then(|s| s.engine.as_ref()) else {
        return;
    };
    let known = |told: u32, usual: u32| u64::from(if told > 0 { told } else { usual });
    let prompt = known(prompt, engine.usual_prompt);
    let answer = known(answer, engine.usual_answer);
    let work = work_us(engine, model, prompt, answer);
    let demand = &mut state.demand;
    demand.since.get_or_insert(now);
    let slot = now / SLOT_MS;
    if demand.slots.back().map(|s| s.0) != Some(slot) {
        demand.slots.push_back((slot, BTreeMap::new()));
        while demand.slots.len() as u64 > SLOTS {
            demand.slots.pop_front();
        }
    }
    if let Some((_, models)) = demand.slots.back_mut() {
        let entry = models
            .entry(model.clone())
            .or_insert_with(|| ModelDemand::none(model));
        entry.work += work;
        entry.value += prompt + ANSWER_WEIGHT * answer;
    }
}

/// Tells the other routers what this one is asked for: any of them may plan next. Where
/// there are too many, only the planner.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.demand.tell_at {
        return;
    }
    state.demand.tell_at = now + TELL_MS;
    let own = state.demand.own(now);
    if !own.is_empty() {
        peers::tell_all(state, &PeerMessage::Demand(own), out);
    }
}

/// Another router has told what it is asked for.
pub(super) fn told(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    demand: Vec<ModelDemand>,
) {
    let others = &mut state.demand.others;
    others.retain(|_, (at, _)| now < *at + STALE_MS);
    others.insert(from, (now, demand));
}

/// What all routers are asked for, by model. A router that hasn't told yet counts as
/// much as the others do on average.
pub(super) fn all(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, ModelDemand> {
    let mut sums: BTreeMap<Arc<str>, ModelDemand> = BTreeMap::new();
    let fresh = state.demand.others.values();
    let fresh: Vec<_> = fresh.filter(|(at, _)| now < *at + STALE_MS).collect();
    let told = fresh.len() as u64 + 1;
    let routers = told.max(state.peers.len() as u64 + 1);
    let own = state.demand.own(now);
    for demand in own.iter().chain(fresh.iter().flat_map(|(_, d)| d)) {
        let sum = sums
            .entry(demand.model.clone())
            .or_insert_with(|| ModelDemand::none(&demand.model));
        sum.work += demand.work;
        sum.value += demand.value;
    }
    for sum in sums.values_mut() {
        sum.work = sum.work * routers / told;
        sum.value = sum.value * routers / told;
    }
    sums
}
