//! Repair by the operators' measure, beside repair by spares alone.
//!
//! The real plan function repairs two fabric domains over a simulated day of
//! failures; a group is up while all its members are and have loaded.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::router::{plan, Condition, Health, PlanInput, WorldView};
use runrail::types::{
    BundleBody, DomainRecord, GroupId, Instance, InstanceId, InstanceState, Measure, ModelKind,
    ModelSpec,
};

/// Seconds of one run.
const DAY: u64 = 86_400;
/// Mean seconds between two failures in the domain, and until a replacement comes.
const FAIL_EVERY: u64 = 1_200;
const REPLACED_AFTER: u64 = 2_400;
/// Seconds to load the weights.
const LOAD: u64 = 90;
const INSTANCES: usize = 14;

struct Cost {
    /// Group-seconds of downtime, weighted by the groups' values.
    downtime: u64,
    /// Instance-seconds of healthy instances outside working groups.
    stranded: u64,
}

pub fn run() {
    println!("| weights (downtime : stranded) | repair | weighted downtime | stranded instance-seconds | cost by the measure |");
    println!("|---|---|---|---|---|");
    for (downtime, stranded) in [(100, 1), (1, 10)] {
        for (name, trade) in [("runrail", true), ("spares only", false)] {
            let measure = Measure { downtime, stranded };
            let costs: Vec<_> = (1..=5).map(|seed| day(measure, trade, seed)).collect();
            let down = costs.iter().map(|c| c.downtime).sum::<u64>() / 5;
            let idle = costs.iter().map(|c| c.stranded).sum::<u64>() / 5;
            let cost = down * u64::from(downtime) + idle * u64::from(stranded);
            println!("| {downtime} : {stranded} | {name} | {down} | {idle} | {cost} |");
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
        load_ms: LOAD * 1_000,
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

fn day(measure: Measure, trade: bool, seed: u64) -> Cost {
    let mut rng = fastrand::Rng::with_seed(seed);
    let body = body(measure);
    let instances: Vec<_> = (0..INSTANCES).map(instance).collect();
    let mut back_at = [0; INSTANCES];
    let mut record = DomainRecord::empty("d", "h");
    let mut ready: BTreeMap<(GroupId, u64), u64> = BTreeMap::new();
    let mut cost = Cost {
        downtime: 0,
        stranded: 0,
    };
    for now in 0..DAY {
        if rng.u64(0..FAIL_EVERY) == 0 {
            back_at[rng.usize(0..INSTANCES)] = now + REPLACED_AFTER;
        }
        let live = |id: &InstanceId| {
            let i: usize = id.as_str()[1..].parse().expect("a number");
            back_at[i] <= now
        };
        let up = |g: &runrail::types::GroupRecord, ready: &BTreeMap<(GroupId, u64), u64>| {
            let loaded = ready
                .get(&(g.id.clone(), g.epoch))
                .is_some_and(|at| *at <= now);
            loaded && g.members.iter().all(|m| live(&m.instance))
        };
        let conditions: BTreeMap<_, _> = record
            .groups
            .iter()
            .map(|g| {
                let condition = if up(g, &ready) {
                    Condition::Open
                } else {
                    Condition::Closed
                };
                (g.id.clone(), condition)
            })
            .collect();
        let mut hall: BTreeMap<Arc<str>, WorldView> = BTreeMap::new();
        for g in &record.groups {
            hall.entry(g.model.clone()).or_default().current += 1;
        }
        let listed: Vec<_> = instances.iter().filter(|i| live(&i.id)).collect();
        let health = instances
            .iter()
            .map(|i| {
                (
                    i.id.clone(),
                    if live(&i.id) {
                        Health::Live
                    } else {
                        Health::Gone
                    },
                )
            })
            .collect();
        let next = plan(&PlanInput {
            body: &body,
            record: &record,
            instances: listed,
            health,
            conditions,
            failing: Vec::new(),
            hall: &hall,
            patience_ms: 30_000,
            trade,
        });
        if let Some(next) = next {
            record = next.record;
        }
        for g in &record.groups {
            ready.entry((g.id.clone(), g.epoch)).or_insert(now + LOAD);
        }
        let working: Vec<_> = record.groups.iter().filter(|g| up(g, &ready)).collect();
        for spec in &body.models {
            let serves = working.iter().any(|g| g.model == spec.name);
            cost.downtime += if serves { 0 } else { u64::from(spec.value) };
        }
        let used: usize = working.iter().map(|g| g.members.len()).sum();
        let healthy = instances.iter().filter(|i| live(&i.id)).count();
        cost.stranded += (healthy - used) as u64;
    }
    cost
}
