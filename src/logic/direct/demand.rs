//! Demand of callers by model, over the last seconds.
//!
//! Each router counts its own requests and reports them to its parent in the tree towards
//! the planner, together with the reports it has received; the planner broadcasts the sum in
//! its digests. A request that was refused and comes back counts once.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use super::admission::usage_reports;
use super::arrivals::ModelArrivals;
use super::capacity::{ModelTrend, TREND_PERIOD_MS};
use super::encoded_size::encoded_size;
use super::{
    demand_shares, tree, DemandShares, DirectEffect, DirectState, Mechanism, ModelDemand,
    PeerMessage,
};
use crate::logic::Effect;
use crate::types::{InstanceId, Millis, RouteSpec};

/// Length of one slot of the window.
pub(super) const SLOT_MS: Millis = 500;

/// Slots of the window, 6 s in all: enough for over a hundred requests to a group of a small
/// model, and short enough for a jump in traffic to show before a load of a model has ended.
const SLOTS: u64 = 12;

/// Time between two reports: a third of the shortest time in which a group is given up for
/// another one that is formed. Over two steps of the tree a report is at most 2 s old.
const REPORT_INTERVAL_MS: Millis = 1_000;

/// The same while reports have the use of accounts, which counts for 2 s over all steps of the tree.
const ACCOUNTS_INTERVAL_MS: Millis = 400;

/// Room for models and accounts in a report. With its other fields, of at most 60 bytes, it stays
/// within a datagram of 1,200 bytes.
const MAX_REPORT_BYTES: usize = 1_140;

/// Age from which a router's report no longer counts: three in a row were lost by then.
const REPORT_VALID_MS: Millis = 4_000;

/// Age up to which a new planner uses the demand of all routers from its predecessor's
/// digests, as long as it has reports of fewer routers: longer than a lease, a takeover and
/// two reports. Demand of that age is still a better estimate than the published shares.
const FLEET_VALID_MS: Millis = 10_000;

/// Time for which requests are counted before their rate is used in place of the published
/// shares: four slots.
const MIN_COUNTED_MS: Millis = 2_000;

/// One request, in thousandths.
pub(super) const REQUEST_MILLI: u64 = 1_000;

/// Weight of a token of an answer against one of a prompt: operators weigh requests by tokens
/// in and ten times the tokens out.
const ANSWER_WEIGHT: u64 = 10;

/// Demand that a router knows of: its own requests by slot and model, and reports of other
/// routers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Demand {
    /// Slots by number, the oldest first.
    slots: VecDeque<(u64, BTreeMap<Arc<str>, ModelArrivals>)>,
    /// When the first request came.
    since: Option<Millis>,
    /// Reports of other routers by sender: arrival, number of routers counted, demand a second.
    reports: BTreeMap<SocketAddr, (Millis, u64, Vec<ModelDemand>)>,
    /// Demand of all routers by the last digest: arrival, number of routers counted, demand a
    /// second.
    fleet: Option<(Millis, u64, Vec<ModelDemand>)>,
    /// Changes of demand by sender, with their arrival.
    trends: BTreeMap<SocketAddr, (Millis, Vec<ModelTrend>)>,
    /// When the next report is due.
    report_at: Millis,
    /// Parts of the demand that come to this router.
    pub shares: DemandShares,
}

impl Demand {
    /// This router's own demand a second, by model.
    fn own(&self, now: Millis) -> Vec<ModelDemand> {
        let oldest = (now / SLOT_MS).saturating_sub(SLOTS);
        let sums = self.sums(oldest, now / SLOT_MS);
        let span = now.saturating_sub(self.since.unwrap_or(now));
        let span = span.clamp(SLOT_MS, SLOTS * SLOT_MS);
        let per_second = |arrivals: ModelArrivals| arrivals.first_tries().scaled(1_000, span);
        let asked = |arrivals: &ModelArrivals| arrivals.received.requests > 0;
        sums.into_values().filter(asked).map(per_second).collect()
    }

    /// Requests by model in the slots after `oldest` up to `newest`.
    pub(super) fn sums(&self, oldest: u64, newest: u64) -> BTreeMap<Arc<str>, ModelArrivals> {
        let mut sums: BTreeMap<Arc<str>, ModelArrivals> = BTreeMap::new();
        let in_range = |slot: u64| slot > oldest && slot <= newest;
        for (_, models) in self.slots.iter().filter(|(slot, _)| in_range(*slot)) {
            for (model, arrivals) in models {
                let sum = sums
                    .entry(model.clone())
                    .or_insert_with(|| ModelArrivals::empty(model));
                sum.add(arrivals);
            }
        }
        sums
    }

    /// How this router's own demand has changed, by model; nothing before two periods were counted.
    fn own_trends(&self, now: Millis) -> Vec<ModelTrend> {
        let slot = now / SLOT_MS;
        let slots = TREND_PERIOD_MS / SLOT_MS;
        if self.age(now) < 2 * TREND_PERIOD_MS || slot < 2 * slots {
            return Vec::new();
        }
        let middle = slot - slots;
        // The current slot has only begun.
        let last_ms = now - (middle + 1) * SLOT_MS;
        let last = self.sums(middle, slot);
        let before = self.sums(middle - slots, middle);
        let rate = |sums: &BTreeMap<Arc<str>, ModelArrivals>, model: &Arc<str>, ms: Millis| {
            let arrivals = sums.get(model);
            arrivals.map_or(0, |a| a.first_tries().requests * 1_000 / ms.max(1))
        };
        let trend = |demand: ModelDemand| ModelTrend {
            mean: demand.requests,
            last: rate(&last, &demand.model, last_ms),
            before: rate(&before, &demand.model, TREND_PERIOD_MS),
            model: demand.model,
        };
        self.own(now).into_iter().map(trend).collect()
    }

    /// Requests for a model in the current slot.
    fn slot(&mut self, now: Millis, model: &Arc<str>) -> Option<&mut ModelArrivals> {
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
                .or_insert_with(|| ModelArrivals::empty(model)),
        )
    }

    /// Time for which requests have been counted.
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since.unwrap_or(now))
    }
}

/// Counts a request that has arrived.
pub(super) fn count_request(
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
    let or_usual = |given: u32, usual: u32| u64::from(if given > 0 { given } else { usual });
    let prompt = or_usual(prompt, engine.usual_prompt);
    let answer = or_usual(answer, engine.usual_answer);
    let one = ModelDemand {
        model: model.clone(),
        requests: REQUEST_MILLI,
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
        arrivals.received.add(&one);
    }
}

/// Counts a request that was refused and is expected to come back.
pub(super) fn count_refusal(state: &mut DirectState, now: Millis, model: &Arc<str>) {
    if let Some(arrivals) = state.demand.slot(now, model) {
        arrivals.refused += REQUEST_MILLI;
    }
}

/// Sends the demand of this router's subtree to its parent in the tree, when it is due.
pub(super) fn on_tick(state: &mut DirectState, now: Millis, out: &mut Vec<Effect>) {
    demand_shares::update(state, now);
    if now < state.demand.report_at {
        return;
    }
    let interval = if usage_reports::is_enabled(state) {
        ACCOUNTS_INTERVAL_MS
    } else {
        REPORT_INTERVAL_MS
    };
    state.demand.report_at = now + interval;
    let holder = state.plan.lease.holder.as_deref().map(InstanceId::new);
    let to = holder.and_then(|root| tree::parent(state, &root));
    if let Some(to) = to {
        let (routers, models) = subtree_demand(state, now);
        let trends: Vec<ModelTrend> = if uses_trends(state) {
            subtree_trends(state, now).into_values().collect()
        } else {
            Vec::new()
        };
        let of_models = models.iter().filter_map(encoded_size);
        let of_trends = trends.iter().filter_map(encoded_size);
        let used: usize = of_models.chain(of_trends).sum();
        let max_bytes = MAX_REPORT_BYTES.saturating_sub(used);
        let accounts = usage_reports::report_to_send(state, now, max_bytes);
        let message = PeerMessage::Demand {
            routers,
            models,
            accounts,
            trends,
        };
        out.push(Effect::Direct(DirectEffect::SendMessage { to, message }));
    }
}

/// Handles another router's report.
pub(super) fn on_report(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    routers: u64,
    models: Vec<ModelDemand>,
) {
    record_traffic(state, &models);
    let reports = &mut state.demand.reports;
    reports.retain(|_, (at, ..)| now < *at + REPORT_VALID_MS);
    reports.insert(from, (now, routers, models));
}

/// Handles the changes of demand in another router's report.
pub(super) fn on_trends(
    state: &mut DirectState,
    now: Millis,
    from: SocketAddr,
    trends: Vec<ModelTrend>,
) {
    let known = &mut state.demand.trends;
    known.retain(|_, (at, _)| now < *at + REPORT_VALID_MS);
    known.remove(&from);
    if !trends.is_empty() {
        known.insert(from, (now, trends));
    }
}

/// Whether the change of demand is used for any service.
fn uses_trends(state: &DirectState) -> bool {
    let services = state.routing.iter().flat_map(|r| r.services.values());
    let mut engines = services.filter_map(|s| s.engine.as_ref());
    engines.any(|e| state.params.is_active(Mechanism::Trend, Some(e)))
}

/// How the demand of the routers in this router's subtree has changed, by model.
fn subtree_trends(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, ModelTrend> {
    let reported = state.demand.trends.values();
    let fresh = reported.filter(|(at, _)| now < at + REPORT_VALID_MS);
    let own = state.demand.own_trends(now);
    let mut sums: BTreeMap<Arc<str>, ModelTrend> = BTreeMap::new();
    for trend in own.iter().chain(fresh.flat_map(|(_, trends)| trends)) {
        let sum = sums.entry(trend.model.clone());
        let sum = sum.or_insert_with(|| ModelTrend::none(&trend.model));
        sum.add(trend);
    }
    sums
}

/// Greatest ratio of the expected demand to the mean of the window: twice that of the last 2 s, if
/// all requests of the window came in these.
const MAX_CHANGE_PERMILLE: u64 = 2_000 * SLOTS * SLOT_MS / TREND_PERIOD_MS;

/// Expected demand a second of all routers, by model, at the time at which a group that is ordered
/// now serves. Where the change of less than half of a model's demand is known, its present
/// demand is taken.
pub(super) fn expected_demand(state: &DirectState, now: Millis) -> BTreeMap<Arc<str>, ModelDemand> {
    let trends = subtree_trends(state, now);
    let mut demand = estimated_demand(state, now);
    for (model, demand) in &mut demand {
        let trend = trends.get(model);
        let is_known = |t: &&ModelTrend| t.mean > 0 && t.mean >= demand.requests / 2;
        if let Some(trend) = trend.filter(is_known) {
            let permille = trend.forecast().saturating_mul(1_000) / trend.mean;
            *demand = demand.scaled(permille.min(MAX_CHANGE_PERMILLE), 1_000);
        }
    }
    demand
}

/// Handles the demand of all routers that came with a digest.
pub(super) fn on_fleet_demand(
    state: &mut DirectState,
    now: Millis,
    routers: u64,
    models: Vec<ModelDemand>,
) {
    record_traffic(state, &models);
    state.demand.fleet = Some((now, routers, models));
}

/// Records that some router has callers, after which loads are no longer cheap. The message
/// that tells the planner of the first caller may be lost, and doesn't reach a later planner.
fn record_traffic(state: &mut DirectState, models: &[ModelDemand]) {
    state.plan.has_traffic |= models.iter().any(|m| m.requests > 0);
}

/// Number of routers in this router's subtree, itself included, and their demand a second.
fn subtree_demand(state: &DirectState, now: Millis) -> (u64, Vec<ModelDemand>) {
    let fresh = state.demand.reports.values();
    let fresh: Vec<_> = fresh
        .filter(|(at, ..)| now < *at + REPORT_VALID_MS)
        .collect();
    let mut sums: BTreeMap<Arc<str>, ModelDemand> = BTreeMap::new();
    let own = state.demand.own(now);
    for demand in own.iter().chain(fresh.iter().flat_map(|(.., d)| d)) {
        let sum = sums
            .entry(demand.model.clone())
            .or_insert_with(|| ModelDemand::none(&demand.model));
        sum.add(demand);
    }
    let counted = fresh.iter().map(|(_, routers, _)| *routers);
    let routers = counted.fold(1, u64::saturating_add);
    (routers, sums.into_values().collect())
}

/// Number of routers whose demand is known, and their demand a second: from the reports sent
/// here or from the last digest, whichever counts more routers.
pub(super) fn known_demand(state: &DirectState, now: Millis) -> (u64, Vec<ModelDemand>) {
    let reported = subtree_demand(state, now);
    let fleet = state.demand.fleet.as_ref();
    match fleet.filter(|(at, counted, _)| now < at + FLEET_VALID_MS && *counted > reported.0) {
        Some((_, counted, models)) => (*counted, models.clone()),
        None => reported,
    }
}

/// Whether enough is known to weigh models against each other: requests were counted for
/// `MIN_COUNTED_MS`, and three quarters of the routers are included.
pub(super) fn is_known(state: &DirectState, now: Millis) -> bool {
    let (counted, _) = known_demand(state, now);
    state.demand.age(now) >= MIN_COUNTED_MS && counted.saturating_mul(4) >= router_count(state) * 3
}

/// Number of routers known, this one included.
pub(super) fn router_count(state: &DirectState) -> u64 {
    state.peers.len() as u64 + 1
}

/// Estimated demand a second of all routers, by model. Routers that haven't reported yet are
/// taken to have the average demand of the others.
pub(super) fn estimated_demand(
    state: &DirectState,
    now: Millis,
) -> BTreeMap<Arc<str>, ModelDemand> {
    let (counted, models) = known_demand(state, now);
    let counted = counted.max(1);
    let routers = counted.max(router_count(state));
    let scaled = |d: &ModelDemand| (d.model.clone(), d.scaled(routers, counted));
    models.iter().map(scaled).collect()
}
