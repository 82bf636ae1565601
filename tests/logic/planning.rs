//! Plans for one fabric domain: new groups, replaced members, and groups that are dissolved
//! for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use runrail::logic::router::{plan, GroupCondition, InstanceHealth, ModelCounts, Plan, PlanInput};
use runrail::types::{
    BundleBody, DomainRecord, GroupId, Instance, InstanceId, InstanceState, Measure, ModelKind,
    ModelSpec,
};

/// A domain with its instances, their health, and the conditions of its groups.
struct Domain {
    body: BundleBody,
    record: DomainRecord,
    instances: Vec<Instance>,
    health: BTreeMap<InstanceId, InstanceHealth>,
    conditions: BTreeMap<GroupId, GroupCondition>,
    trade: bool,
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
        load_ms: 60_000,
    }
}

impl Domain {
    fn new(count: usize, models: Vec<ModelSpec>) -> Self {
        let instance = |i| Instance {
            id: InstanceId::new(&format!("i{i:02}")),
            hall: Arc::from("h"),
            domain: Arc::from("d"),
            kind: Arc::from(Instance::ENGINE),
            state: InstanceState::Live,
            addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        let instances: Vec<_> = (0..count).map(instance).collect();
        let mut domain = Self {
            body: BundleBody {
                models,
                measure: Measure {
                    downtime: 10,
                    stranded: 1,
                },
                ..BundleBody::default()
            },
            record: DomainRecord::empty("d", "h"),
            health: instances
                .iter()
                .map(|i| (i.id.clone(), InstanceHealth::Live))
                .collect(),
            instances,
            conditions: BTreeMap::new(),
            trade: true,
        };
        if let Some(plan) = domain.plan() {
            domain.record = plan.record;
        }
        let open = domain
            .record
            .groups
            .iter()
            .map(|g| (g.id.clone(), GroupCondition::Open));
        domain.conditions = open.collect();
        domain
    }

    fn plan(&self) -> Option<Plan> {
        let mut hall: BTreeMap<Arc<str>, ModelCounts> = BTreeMap::new();
        for group in &self.record.groups {
            hall.entry(group.model.clone()).or_default().current += 1;
        }
        plan(&PlanInput {
            body: &self.body,
            record: &self.record,
            instances: self.instances.iter().collect(),
            health: self.health.clone(),
            conditions: self.conditions.clone(),
            failing: Vec::new(),
            model_counts: &hall,
            patience_ms: 30_000,
            allow_trade: self.trade,
        })
    }

    /// Sets the health of the second member of a group and closes the group; returns the id of
    /// the member.
    fn lose(&mut self, group: usize, health: InstanceHealth) -> InstanceId {
        let group = &self.record.groups[group];
        let lost = group.members[1].instance.clone();
        self.health.insert(lost.clone(), health);
        self.conditions
            .insert(group.id.clone(), GroupCondition::Closed);
        lost
    }
}

#[test]
fn groups_are_formed_of_separate_instances() {
    let domain = Domain::new(9, vec![model("a", 2), model("b", 1)]);
    assert_eq!(domain.record.groups.len(), 2);
    assert_eq!(domain.record.shared_instance(), None);
    assert!(domain.plan().is_none(), "the plan changes again");
}

#[test]
fn a_spare_replaces_a_lost_member_under_a_new_epoch() {
    let mut domain = Domain::new(5, vec![model("a", 1)]);
    let before = domain.record.groups[0].epoch;
    let lost = domain.lose(0, InstanceHealth::Gone);
    let plan = domain.plan().expect("a plan");
    let group = &plan.record.groups[0];
    assert!(group.epoch > before && !group.has(&lost) && group.has(&InstanceId::new("i04")));
}

#[test]
fn a_silent_member_is_replaced_only_after_the_wait_limit() {
    let mut domain = Domain::new(5, vec![model("a", 1)]);
    domain.lose(0, InstanceHealth::Silent(29_000));
    assert!(domain.plan().is_none());
    domain.lose(0, InstanceHealth::Silent(31_000));
    assert!(domain.plan().is_some());
}

#[test]
fn a_group_is_given_up_only_for_one_that_is_worth_more() {
    let mut domain = Domain::new(8, vec![model("high", 5), model("low", 1)]);
    domain.lose(0, InstanceHealth::Gone);
    let plan = domain.plan().expect("a plan");
    let models: Vec<_> = plan
        .record
        .groups
        .iter()
        .map(|g| g.model.to_string())
        .collect();
    assert_eq!(models, ["high"]);
    assert_eq!(plan.record.shared_instance(), None);
    domain.trade = false;
    assert!(domain.plan().is_none());
    let mut domain = Domain::new(8, vec![model("high", 5), model("low", 1)]);
    domain.lose(1, InstanceHealth::Gone);
    assert!(
        domain.plan().is_none(),
        "the group of higher value is given up"
    );
}

#[test]
fn two_broken_groups_become_a_whole_one() {
    let mut domain = Domain::new(8, vec![model("a", 1), model("b", 1)]);
    domain.lose(0, InstanceHealth::Gone);
    domain.lose(1, InstanceHealth::Gone);
    let plan = domain.plan().expect("a plan");
    assert_eq!(plan.record.groups.len(), 1);
    let live = |m: &runrail::types::Member| domain.health[&m.instance] == InstanceHealth::Live;
    assert!(plan.record.groups[0].members.iter().all(live));
}

#[test]
fn a_group_whose_leader_lives_on_elsewhere_is_left_alone() {
    let mut domain = Domain::new(5, vec![model("a", 1)]);
    let lost = domain.record.groups[0].members[0].instance.clone();
    domain.health.insert(lost, InstanceHealth::Silent(60_000));
    let id = domain.record.groups[0].id.clone();
    domain
        .conditions
        .insert(id, GroupCondition::LeaderUnreachable);
    assert!(domain.plan().is_none());
}
