use super::{Problem, Request, RouterState};
use crate::message::LeadReport;
use crate::types::{GroupId, InstanceId, Millis, ModelKind, Phase};

/// Weight of the previous mean against one new value in the moving average.
const MEAN_WEIGHT: u64 = 7;
/// A fully occupied group costs a run time divided by this, in addition to its waiting time.
const OCCUPANCY_DIVISOR: u64 = 4;
/// Run time assumed for a group before its first run has ended.
const DEFAULT_RUN_MS: Millis = 200;
/// Candidates in the router's data hall that are compared; as many in other halls if there are none
/// in its own.
const MAX_NEAR_SAMPLES: usize = 3;
/// Candidates in other data halls that are compared with them.
const MAX_FAR_SAMPLES: usize = 1;
/// Length of the part of a body that is hashed as its prefix.
const PREFIX_BYTES: usize = 512;
/// Prefixes for which the last chosen group is remembered.
const MAX_PREFIXES: usize = 4_096;

/// How a group is chosen among those that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum RoutePolicy {
    /// The one with the lowest expected cost, mostly waiting time, of a few random groups.
    #[default]
    LeastWait,
    /// A random one; a baseline for comparison.
    Random,
    /// The next one in turn; a baseline for comparison.
    RoundRobin,
}

/// Load of one group as a router counts it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct GroupLoad {
    /// Attempts of this router in flight there.
    pub in_flight: u32,
    /// Attempts that this router has sent since the leader's last report.
    pub since_report: u32,
    /// Moving mean of the time from the arrival of a request to its complete answer there, in
    /// milliseconds; 0 before the first.
    pub mean_ms: Millis,
}

impl GroupLoad {
    /// Adds a request that was answered completely after `took` milliseconds.
    pub fn ended(&mut self, took: Millis) {
        self.mean_ms = match self.mean_ms {
            0 => took.max(1),
            mean => (mean * MEAN_WEIGHT + took) / (MEAN_WEIGHT + 1),
        };
    }
}

/// A group that can take a request.
#[derive(Clone, Debug)]
struct Candidate {
    agent: InstanceId,
    group: GroupId,
    /// Expected cost by which candidates are compared, in milliseconds.
    cost: Millis,
    /// Time until the request would start there, in milliseconds.
    wait: Millis,
    /// Whether the group is in the router's data hall.
    near: bool,
}

/// The group that was chosen.
pub(super) struct Choice {
    pub agent: InstanceId,
    pub group: GroupId,
}

/// Chooses a group for a request.
///
/// # Errors
/// A problem with outcome `not_run` if no group takes work, or if the request would start after its
/// deadline.
pub(super) fn choose(
    state: &mut RouterState,
    now: Millis,
    request: &Request,
) -> Result<Choice, Problem> {
    let mut candidates = candidates(state, now, request);
    if candidates.len() > 1 {
        candidates.retain(|c| Some(&c.group) != request.avoid_group.as_ref());
    }
    let hint = state.params.hint_ms;
    if candidates.is_empty() {
        let detail = format!("no group of model {:?} takes work now", request.model);
        return Err(Problem::not_run(503, detail).with_retry(hint));
    }
    let best = match state.params.policy {
        RoutePolicy::LeastWait => least_wait(state, request, &candidates),
        RoutePolicy::Random => state.random(candidates.len() as u64) as usize,
        RoutePolicy::RoundRobin => {
            state.round_robin += 1;
            (state.round_robin % candidates.len() as u64) as usize
        }
    };
    let best = candidates.swap_remove(best);
    let left = request.remaining_ms(now);
    if best.wait >= left {
        let detail = format!(
            "the request would start in {} ms, after its deadline",
            best.wait
        );
        let excess = best.wait - left;
        return Err(Problem::not_run(503, detail).with_retry(excess.max(hint)));
    }
    remember_prefix(state, request, &best.group);
    Ok(Choice {
        agent: best.agent,
        group: best.group,
    })
}

/// Groups that serve the request's model and are open.
fn candidates(state: &RouterState, now: Millis, request: &Request) -> Vec<Candidate> {
    let mut found = Vec::new();
    for (agent, view) in &state.agents {
        let Some(lead) = view.report.as_ref().and_then(|r| r.lead.as_ref()) else {
            continue;
        };
        if !lead.open || lead.phase == Phase::Draining {
            continue;
        }
        let Some(record) = state.fleet.find_group(&lead.group) else {
            continue;
        };
        let fits = record.epoch == lead.epoch
            && record.model == request.model
            && record.kind == request.kind
            && record.phase == Phase::Serving;
        if !fits {
            continue;
        }
        let near = state.fleet.hall_of(&lead.group.domain) == Some(&state.hall);
        let ramp = ramp_cost(state, now, view.opened_at, &lead.group);
        let (wait, cost) = expected_cost(state, request.priority, lead);
        let far = if near { 0 } else { state.params.far_ms };
        found.push(Candidate {
            agent: agent.clone(),
            group: lead.group.clone(),
            cost: cost + far + ramp,
            wait,
            near,
        });
    }
    found
}

/// Waiting time and expected cost at a group, both in milliseconds.
///
/// Reports lag, so the attempts that this router has sent since the last one are added to the cost.
fn expected_cost(state: &RouterState, priority: u8, lead: &LeadReport) -> (Millis, Millis) {
    let load = state.loads.get(&lead.group).copied().unwrap_or_default();
    let slots = u64::from(lead.slots.max(1));
    let class = lead.loads.iter().find(|c| c.priority == priority);
    let class = class.copied().unwrap_or_default();
    let mean = match (class.mean_ms, load.mean_ms) {
        (0, 0) => DEFAULT_RUN_MS,
        (0, own) => own,
        (mean, _) => mean,
    };
    let sent = u64::from(load.since_report);
    let occupied = u64::from(lead.running) + sent;
    // Waiting time counts in full; occupancy decides among groups without waiting requests. The
    // mean run time makes slow groups more expensive.
    let cost =
        class.wait_ms + sent * mean / slots + occupied * mean / slots / OCCUPANCY_DIVISOR + mean;
    (class.wait_ms, cost)
}

/// Extra cost of a group that has just opened, so that it is filled gradually: for each attempt of
/// this router in flight there, a tenth of the remaining ramp time, in milliseconds.
fn ramp_cost(state: &RouterState, now: Millis, opened_at: Millis, group: &GroupId) -> Millis {
    let age = now.saturating_sub(opened_at);
    if age >= state.params.ramp_ms {
        return 0;
    }
    let own = state.loads.get(group).map_or(0, |l| u64::from(l.in_flight));
    own * (state.params.ramp_ms - age) / 10
}

/// Index of the cheapest of a few random candidates.
///
/// A group that may have the request's prefix cached is preferred if it costs at most `prefix_ms`
/// more.
fn least_wait(state: &mut RouterState, request: &Request, all: &[Candidate]) -> usize {
    let mut near: Vec<_> = (0..all.len()).filter(|i| all[*i].near).collect();
    let mut far: Vec<_> = (0..all.len()).filter(|i| !all[*i].near).collect();
    let far_sample = if near.is_empty() {
        MAX_NEAR_SAMPLES
    } else {
        MAX_FAR_SAMPLES
    };
    let mut sample = draw_sample(state, &mut near, MAX_NEAR_SAMPLES);
    sample.extend(draw_sample(state, &mut far, far_sample));
    let best = sample.into_iter().min_by_key(|i| all[*i].cost).unwrap_or(0);
    let hinted = prefix_hash(request).and_then(|p| state.prefixes.get(&p));
    let hinted = hinted.and_then(|group| all.iter().position(|c| &c.group == group));
    match hinted {
        Some(i) if all[i].cost <= all[best].cost + state.params.prefix_ms => i,
        _ => best,
    }
}

/// Removes up to `count` random elements from `from` and returns them.
fn draw_sample(state: &mut RouterState, from: &mut Vec<usize>, count: usize) -> Vec<usize> {
    let mut drawn = Vec::new();
    while drawn.len() < count && !from.is_empty() {
        let at = state.random(from.len() as u64) as usize;
        drawn.push(from.swap_remove(at));
    }
    drawn
}

/// Hash of the model and the first bytes of the body; `None` for services and short bodies.
fn prefix_hash(request: &Request) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let body = request.body.as_bytes();
    if request.kind == ModelKind::Service || body.len() < PREFIX_BYTES {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    request.model.hash(&mut hasher);
    body[..PREFIX_BYTES].hash(&mut hasher);
    Some(hasher.finish())
}

/// Remembers the group chosen for a prefix; if the table is full, the smallest hash is dropped.
fn remember_prefix(state: &mut RouterState, request: &Request, group: &GroupId) {
    let Some(prefix) = prefix_hash(request) else {
        return;
    };
    if state.prefixes.len() >= MAX_PREFIXES && !state.prefixes.contains_key(&prefix) {
        state.prefixes.pop_first();
    }
    state.prefixes.insert(prefix, group.clone());
}
