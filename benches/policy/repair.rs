//! Compares repair by the operators' weights with repair from spares alone.
//!
//! The planner's `plan` function repairs one fabric domain over a simulated day of
//! failures. A group is up while all its members are live and its load time has passed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::router::{plan, GroupCondition, InstanceHealth, ModelCounts, PlanInput};
use runrail::types::{
    BundleBody, DomainRecord, GroupId, Instance, InstanceId, InstanceState, Measure, ModelKind,
    ModelSpec,
};

/// Simulated time of one run.
const DAY_S: u64 = 86_400;
/// Mean time between two failures in the domain, and time until a failed instance is back.
const FAILURE_INTERVAL_S: u64 = 1_200;
const REPLACEMENT_S: u64 = 2_400;
/// Time in which a group loads its model.
const LOAD_S: u64 = 90;
const INSTANCES: usize = 14;

/// Costs of one run, without the operators' weights.
struct Cost {
    /// Seconds in which a model has no group that is up, weighted by the models' values.
    downtime: u64,
    /// Instance-seconds of live instances outside groups that are up.
    stranded: u64,
}

pub fn run() {
    println!("| weights (downtime : stranded) | repair | weighted downtime | stranded instance-seconds | weighted cost |");
    println!("|---|---|---|---|---|");
    for (downtime, stranded) in [(100, 1), (1, 10)] {
        for (name, allow_trade) in [("runrail", true), ("spares only", false)] {
            let measure = Measure { downtime, stranded };
            let costs: Vec<_> = (1..=5)
                .map(|seed| simulate_day(measure, allow_trade, seed))
                .collect();
            let mean_downtime = costs.iter().map(|c| c.downtime).sum::<u64>() / 5;
            let mean_stranded = costs.iter().map(|c| c.stranded).sum::<u64>() / 5;
            let cost = mean_downtime * u64::from(downtime) + mean_stranded * u64::from(stranded);
            println!(
                "| {downtime} : {stranded} | {name} | {mean_downtime} | {mean_stranded} | {cost} |"
            );
        }
    }
}

fn model(name: &str, value: u32) -> ModelSpec {
    ModelSpec {
        name: Arc::from(name),
        version: Arc::from("1"),
        kind: ModelKind::Engine,
        role: Default::default(),
        adapters: Vec::new(),
        instances: 4,
        per_hall: 1,
        floor: 0,
        value,
        load_ms: LOAD_S * 1_000,
    }
}

fn body(measure: Measure) -> BundleBody {
    BundleBody {
        title: "repair".into(),
        models: vec![model("payees", 10), model("notes", 5), model("drafts", 1)],
        measure,
        ..BundleBody::default()
    }
}

fn instance(i: usize) -> Instance {
    Instance {
        id: InstanceId::new(&format!("i{i:02}")),
        hall: Arc::from("h"),
        domain: Arc::from("d"),
        kind: Arc::from(Instance::ENGINE),
        state: InstanceState::Live,
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
    }
}

fn simulate_day(measure: Measure, allow_trade: bool, seed: u64) -> Cost {
    let mut rng = fastrand::Rng::with_seed(seed);
    let body = body(measure);
    let instances: Vec<_> = (0..INSTANCES).map(instance).collect();
    let mut back_at = [0; INSTANCES];
    let mut record = DomainRecord::empty("d", "h");
    let mut ready_at: BTreeMap<(GroupId, u64), u64> = BTreeMap::new();
    let mut cost = Cost {
        downtime: 0,
        stranded: 0,
    };
    for now in 0..DAY_S {
        if rng.u64(0..FAILURE_INTERVAL_S) == 0 {
            back_at[rng.usize(0..INSTANCES)] = now + REPLACEMENT_S;
        }
        let is_live = |id: &InstanceId| {
            let i: usize = id.as_str()[1..]
                .parse()
                .expect("an instance id ends in its number");
            back_at[i] <= now
        };
        let is_up = |g: &runrail::types::GroupRecord, ready: &BTreeMap<(GroupId, u64), u64>| {
            let loaded = ready
                .get(&(g.id.clone(), g.epoch))
                .is_some_and(|at| *at <= now);
            loaded && g.members.iter().all(|m| is_live(&m.instance))
        };
        let conditions: BTreeMap<_, _> = record
            .groups
            .iter()
            .map(|g| {
                let condition = if is_up(g, &ready_at) {
                    GroupCondition::Open
                } else {
                    GroupCondition::Closed
                };
                (g.id.clone(), condition)
            })
            .collect();
        let mut hall: BTreeMap<Arc<str>, ModelCounts> = BTreeMap::new();
        for g in &record.groups {
            hall.entry(g.model.clone()).or_default().current += 1;
        }
        let listed: Vec<_> = instances.iter().filter(|i| is_live(&i.id)).collect();
        let health = instances
            .iter()
            .map(|i| {
                (
                    i.id.clone(),
                    if is_live(&i.id) {
                        InstanceHealth::Live
                    } else {
                        InstanceHealth::Gone
                    },
                )
            })
            .collect();
        let new_plan = plan(&PlanInput {
            body: &body,
            record: &record,
            instances: listed,
            health,
            conditions,
            failing: Vec::new(),
            model_counts: &hall,
            patience_ms: 30_000,
            allow_trade,
        });
        if let Some(new_plan) = new_plan {
            record = new_plan.record;
        }
        for g in &record.groups {
            ready_at
                .entry((g.id.clone(), g.epoch))
                .or_insert(now + LOAD_S);
        }
        let working: Vec<_> = record
            .groups
            .iter()
            .filter(|g| is_up(g, &ready_at))
            .collect();
        for spec in &body.models {
            let is_served = working.iter().any(|g| g.model == spec.name);
            cost.downtime += if is_served { 0 } else { u64::from(spec.value) };
        }
        let working_members: usize = working.iter().map(|g| g.members.len()).sum();
        let live_count = instances.iter().filter(|i| is_live(&i.id)).count();
        cost.stranded += (live_count - working_members) as u64;
    }
    cost
}
