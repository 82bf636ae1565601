//! Builds the records, instances and bundle of a fleet of any size.

use std::net::SocketAddr;
use std::sync::Arc;

use runrail::types::{
    AccountSpec, Bundle, BundleBody, ClassSpec, DomainRecord, GroupId, GroupRecord, Instance,
    InstanceId, InstanceState, Member, ModelKind, ModelSpec, Phase,
};

pub const HALLS: usize = 11;
pub const GROUPS_PER_DOMAIN: usize = 8;

pub fn addr() -> SocketAddr {
    SocketAddr::from(([10, 20, 30, 40], 7_000))
}

pub fn group(domain: &str, number: u64, size: usize) -> GroupRecord {
    let member = |m| Member {
        instance: InstanceId::new(&format!("{domain}-g{number}-i{m:02}")),
        addr: addr(),
    };
    GroupRecord {
        id: GroupId::new(domain, number),
        epoch: number,
        members: (0..size).map(member).collect(),
        model: Arc::from("desk-70b"),
        version: Arc::from("2026-11"),
        kind: ModelKind::Engine,
        role: Default::default(),
        adapters: Vec::new(),
        load_ms: 60_000,
        phase: Phase::Serving,
    }
}

/// Returns the domain records of a fleet with this many groups of four members.
pub fn domains(groups: usize) -> Vec<DomainRecord> {
    let domain_count = groups.div_ceil(GROUPS_PER_DOMAIN);
    (0..domain_count)
        .map(|d| {
            let name = format!("hall{:02}-rack{d:03}", d % HALLS);
            let group_count = (groups - d * GROUPS_PER_DOMAIN).min(GROUPS_PER_DOMAIN);
            DomainRecord {
                groups: (1..=group_count)
                    .map(|n| group(&name, n as u64, 4))
                    .collect(),
                hall: Arc::from(format!("hall{:02}", d % HALLS)),
                epoch: group_count as u64,
                domain: Arc::from(name),
            }
        })
        .collect()
}

/// Returns the instances of one data hall: all members of its groups, live.
pub fn instances(domains: &[DomainRecord], hall: &str) -> Vec<Instance> {
    let here = domains.iter().filter(|d| &*d.hall == hall);
    here.flat_map(|d| {
        let members = d.groups.iter().flat_map(|g| &g.members);
        members.map(|m| Instance {
            id: m.instance.clone(),
            hall: d.hall.clone(),
            domain: d.domain.clone(),
            kind: Arc::from(Instance::ENGINE),
            state: InstanceState::Live,
            addr: addr(),
        })
    })
    .collect()
}

pub fn bundle(models: usize, accounts: usize, per_hall: u32) -> Bundle {
    let class = |name: &str, priority| ClassSpec {
        name: Arc::from(name),
        priority,
        reserved: 1,
        preempt: priority > 3,
        repeat: true,
        deadline_ms: 60_000,
    };
    let model = |i| ModelSpec {
        name: Arc::from(if i == 0 {
            "desk-70b".to_string()
        } else {
            format!("model-{i}")
        }),
        version: Arc::from("2026-11"),
        kind: ModelKind::Engine,
        role: Default::default(),
        adapters: Vec::new(),
        instances: 4,
        per_hall: if i == 0 { per_hall } else { 0 },
        floor: 0,
        value: 1,
        load_ms: 60_000,
    };
    let account = |i| AccountSpec {
        name: Arc::from(format!("account-{i}")),
        key_sha256: Arc::from(format!("{i:064}")),
        classes: vec![Arc::from("urgent"), Arc::from("drafting")],
        share: 1,
        limit: 1_000_000,
    };
    Bundle {
        number: 1,
        author: "anna".into(),
        body: BundleBody {
            title: "capacity".into(),
            models: (0..models).map(model).collect(),
            classes: vec![class("urgent", 0), class("drafting", 5), class("batch", 7)],
            accounts: (0..accounts).map(account).collect(),
            ..BundleBody::default()
        },
    }
}
