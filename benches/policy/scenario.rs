use runrail::logic::router::RoutePolicy;

/// Disturbance of a scenario. Unless the variant says otherwise, it lasts for the whole run;
/// 20 s are counted from the start of the minute of arrivals.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    Nothing,
    /// A tenth of the groups lose their only member for good, from 20 s on.
    Loss,
    /// The agents of a tenth of the groups are asked to stop at 20 s.
    Drain,
    /// The key-value service is unavailable from 20 s until the end.
    Outage,
    /// One group takes five times as long for each piece of an answer.
    Slow,
    /// One account sends ten times as many requests as all others together.
    Greedy,
}

/// Policy that a row of the table is for: runrail's own, or a baseline.
#[derive(Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub route: RoutePolicy,
    /// Whether agents schedule by class: priorities, reserved slots, preemption, fair shares.
    pub by_class: bool,
}

const RUNRAIL: Policy = Policy {
    name: "runrail",
    route: RoutePolicy::LeastWait,
    by_class: true,
};
const RANDOM: Policy = Policy {
    name: "random routing",
    route: RoutePolicy::Random,
    ..RUNRAIL
};
const ROUND_ROBIN: Policy = Policy {
    name: "round robin",
    route: RoutePolicy::RoundRobin,
    ..RUNRAIL
};
const NO_CLASSES: Policy = Policy {
    name: "no classes",
    by_class: false,
    ..RUNRAIL
};

/// One row of the table.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Offered load in tenths of the capacity.
    pub load_tenths: u64,
    pub disturbance: Disturbance,
    pub policy: Policy,
}

impl Scenario {
    pub fn all() -> Vec<Scenario> {
        let mut scenarios = Vec::new();
        let mut add = |name, load_tenths, disturbance, policies: &[Policy]| {
            for policy in policies {
                scenarios.push(Scenario {
                    name,
                    load_tenths,
                    disturbance,
                    policy: *policy,
                });
            }
        };
        let all_policies = [RUNRAIL, RANDOM, ROUND_ROBIN, NO_CLASSES];
        add("payday 0.8x", 8, Disturbance::Nothing, &all_policies);
        add("payday 1x", 10, Disturbance::Nothing, &all_policies);
        add(
            "payday 3x",
            30,
            Disturbance::Nothing,
            &[RUNRAIL, RANDOM, NO_CLASSES],
        );
        add(
            "payday 10x",
            100,
            Disturbance::Nothing,
            &[RUNRAIL, NO_CLASSES],
        );
        add("member loss 0.8x", 8, Disturbance::Loss, &[RUNRAIL, RANDOM]);
        add("drain 0.8x", 8, Disturbance::Drain, &[RUNRAIL, RANDOM]);
        add("outage 0.8x", 8, Disturbance::Outage, &[RUNRAIL]);
        add(
            "slow group 0.8x",
            8,
            Disturbance::Slow,
            &[RUNRAIL, RANDOM, ROUND_ROBIN],
        );
        add(
            "greedy account 3x",
            30,
            Disturbance::Greedy,
            &[RUNRAIL, NO_CLASSES],
        );
        scenarios
    }
}
