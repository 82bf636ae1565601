//! What callers ask for, model by model, over the last seconds.
//!
//! Each router counts its own requests and reports them on the way to the one that plans,
//! together with what others have reported to it; the sum comes back with the digests.
//! A request that was refused and comes back is the same demand and counts once.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::arrivals::Arrivals;
use super::{tree, DirectEffect, DirectState, ModelDemand, PeerMessage};
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, RouteSpec};

/// Length of one slot of the window.
const SLOT_MS: Millis = 500;

/// Slots of the window, six seconds in all: a group of a small model gets over a hundred
/// requests within it, and a jump of the traffic shows before a load has ended.
const SLOTS: u64 = 12;

/// Time between two reports: a third of the shortest time in which a group is traded and
/// formed anew. On two steps a report is 2 s old at most.
const TELL_MS: Millis = 1_000;

/// Time after which a router that tells nothing is no longer counted as told: three
/// reports lost in a row.
const STALE_MS: Millis = 4_000;

/// Time for which the sum of all routers is believed by one that takes the duty over and
/// hasn't been told anew: longer than a lease, a takeover and two reports. Ten seconds old
/// it still says more than published shares.
const SUM_STALE_MS: Millis = 10_000;

/// Time for which requests are counted before their rate is believed in place of the
/// published shares: four slots. A choice; other values were not measured.
const BELIEVED_MS: Millis = 2_000;

/// One request, in thousandths.
const ONE: u64 = 1_000;

/// What a token of an answer counts against one of a prompt: operators weigh requests
/// of one kind by tokens in and ten times the tokens out.
const ANSWER_WEIGHT: u64 = 10;

/// Requests of one router, by slot and model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Slots by number, the oldest first.
    slots: VecDeque<(u64, BTreeMap<Arc<str>, Arrivals>)>,
    /// When the first request came.
    since: Option<Millis>,
    /// What other routers have reported here: when, for how many, and what.
    others: BTreeMap<SocketAddr, (Millis, u64, Vec<ModelDemand>)>,
    /// What the planner has told of all: when, for how many, and what.
    fleet: Option<(Millis, u64, Vec<ModelDemand>)>,
    /// When the next report is due.
    tell_at: Millis,
}

impl Demand {
    /// What this router is asked for in a second, by model.
    fn own(&self, now: Millis) -> Vec<ModelDemand> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS);
        let mut sums: BTreeMap<Arc<str>, Arrivals> = BTreeMap::new();
        for (_, models) in self.slots.iter().filter(|(slot, _)| *slot > oldest) {
            for (model, arrivals) in models {
                let sum = sums
                    .entry(model.clone())
                    .or_insert_with(|| Arrivals::none(model));
                sum.add(arrivals);
            }
        }
        let span = now.saturating_sub(self.since.unwrap_or(now));
        let span = span.clamp(SLOT_MS, SLOTS * SLOT_MS);
        let a_second = |arrivals: Arrivals| arrivals.first_tries().scaled(1_000, span);
        let asked = |arrivals: &Arrivals| arrivals.came.requests > 0;
        sums.into_values().filter(asked).map(a_second).collect()
    }

    /// What a model is asked for in the slot of this moment.
    fn slot(&mut self, now: Millis, model: &Arc<str>) -> Option<&mut Arrivals> {
        let slot = now / SLOT_MS;
        if self.slots.back().map(|s| s.0) != Some(slot) {
            self.slots.push_back((slot, BTreeMap::new()));
            while self.slots.len() as u64 > SLOTS {
                self.slots.pop_front();
            }
        }
        let (_, models) = self.slots.back_mut()?;
        Some(
            models
                .entry(model.clone())
                .or_insert_with(|| Arrivals::none(model)),
        )
    }

    /// How long requests have been counted.
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since.unwrap_or(now))
    }
}

/// Counts a request that has come.
pub(super) fn count(
    state: &mut DirectState,
    now: Millis,
    route: &RouteSpec,
    service: &str,
    model: &Arc<str>,
    (prompt, answer): (u32, u32),
) {
    let spec = state.routing.as_ref().and_then(|r| r.services.get(service));
    let Some(engine) = spec.and_then(|s| s.engine.as_ref()) else {
        return;
    };
    let known = |told: u32, usual: u32| u64::from(if told > 0 { told } else { usual });
    let prompt = known(prompt, engine.usual_prompt);
    let answer = known(answer, engine.usual_answer);
    let one = ModelDemand {
        model: model.clone(),
        requests: ONE,
        prompt,
        square: prompt * prompt,
        answer,
        pause: route.gap_ms,
        first: route.target_ms,
        value: prompt + ANSWER_WEIGHT * answer,
    };
    let demand = &mut state.demand;
    demand.since.get_or_insert(now);
    if let Some(arrivals) = demand.slot(now, model) {
        arrivals.came.add(&one);
    }
}

/// Counts a request that was told to come back.
pub(super) fn refused(state: &mut DirectState, now: Millis, model: &Arc<str>) {
    if let Some(arrivals) = state.demand.slot(now, model) {
        arrivals.refused += ONE;
    }
}

/// Reports what this router and those behind it are asked for, on the way to the planner.
pub(super) fn tend(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    if now < state.demand.tell_at {
        return;
    }
    state.demand.tell_at = now + TELL_MS;
    let holder = state.plan.duty.holder.as_deref().map(InstanceId::new);
    let to = holder.and_then(|root| tree::parent(state, &root));
    if let Some(to) = to {
        let (routers, models) = reported(state, now);
        let message = PeerMessage::Demand { routers, models };
        out.push(Effect::Direct(DirectEffect::Tell { to, message }));
    }
}

/// Another router has reported.
pub(super) fn told(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    routers: u64,
    models: Vec<ModelDemand>,
) {
    learn_traffic(state, &models);
    let others = &mut state.demand.others;
    others.retain(|_, (at, ..)| now < *at + STALE_MS);
    others.insert(from, (now, routers, models));
}

/// The planner has told what all routers are asked for.
pub(super) fn told_all(
    state: &mut DirectState,
    now: Millis,
    routers: u64,
    models: Vec<ModelDemand>,
) {
    learn_traffic(state, &models);
    state.demand.fleet = Some((now, routers, models));
}

/// Callers have come to some router: loads are no longer cheap. The one word that tells
/// the planner so may be lost, and doesn't reach one that takes the duty over.
fn learn_traffic(state: &mut DirectState, models: &[ModelDemand]) {
    state.plan.traffic |= models.iter().any(|m| m.requests > 0);
}

/// What this router and those that report to it are asked for, and how many they are.
fn reported(state: &DirectState, now: Millis) -> (u64, Vec<ModelDemand>) {
    let fresh = state.demand.others.values();
    let fresh: Vec<_> = fresh.filter(|(at, ..)| now < *at + STALE_MS).collect();
    let mut sums: BTreeMap<Arc<str>, ModelDemand> = BTreeMap::new();
    let own = state.demand.own(now);
    for demand in own.iter().chain(fresh.iter().flat_map(|(.., d)| d)) {
        let sum = sums
            .entry(demand.model.clone())
            .or_insert_with(|| ModelDemand::none(&demand.model));
        sum.add(demand);
    }
    let routers = 1 + fresh.iter().map(|(_, routers, _)| routers).sum::<u64>();
    (routers, sums.into_values().collect())
}

/// What is known of all routers' demand, and how many are counted in it: what was
/// reported here, or what the planner before has told, whichever counts more.
pub(super) fn sum(state: &DirectState, now: Millis) -> (u64, Vec<ModelDemand>) {
    let reported = reported(state, now);
    let fleet = state.demand.fleet.as_ref();
    match fleet.filter(|(at, told, _)| now < at + SUM_STALE_MS && *told > reported.0) {
        Some((_, told, models)) => (*told, models.clone()),
        None => reported,
    }
}

/// Whether enough is known to weigh models against each other: requests were counted for
/// some time, and all but a few routers have told theirs.
pub(super) fn known(state: &DirectState, now: Millis) -> bool {
    let (told, _) = sum(state, now);
    state.demand.age(now) >= BELIEVED_MS && told * 4 >= routers(state) * 3
}

fn routers(state: &DirectState) -> u64 {
    state.peers.len() as u64 + 1
}

/// What all routers are asked for, by model. A router that hasn't told yet counts as
/// much as the others do on average.
pub(super) fn all(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, ModelDemand> {
    let (told, models) = sum(state, now);
    let told = told.max(1);
    let routers = told.max(routers(state));
    let scaled = |d: &ModelDemand| (d.model.clone(), d.scaled(routers, told));
    models.iter().map(scaled).collect()
}
