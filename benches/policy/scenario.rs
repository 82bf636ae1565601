use runrail::logic::router::RoutePolicy;

/// What goes wrong at second 20 of the minute.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    Nothing,
    /// A tenth of the groups lose a member for good.
    Loss,
    /// A tenth of the groups are told to stop.
    Drain,
    /// The key-value service is down until the end.
    Outage,
    /// One group runs five times slower from the start.
    Slow,
    /// One account sends ten times the load of all others together.
    Greedy,
}

/// How decisions are made.
#[derive(Clone, Copy)]
pub struct Policy {
    pub name: &'static str,
    pub route: RoutePolicy,
    /// Classes, reserved slots, pausing and shares.
    pub by_class: bool,
}

const OURS: Policy = Policy {
    name: "runrail",
    route: RoutePolicy::LeastWait,
    by_class: true,
};
const RANDOM: Policy = Policy {
    name: "random routing",
    route: RoutePolicy::Random,
    ..OURS
};
const ROUND_ROBIN: Policy = Policy {
    name: "round robin",
    route: RoutePolicy::RoundRobin,
    ..OURS
};
const ONE_QUEUE: Policy = Policy {
    name: "no classes",
    by_class: false,
    ..OURS
};

/// One row of the table.
#[derive(Clone, Copy)]
pub struct Scenario {
    pub name: &'static str,
    /// Load in tenths of the capacity.
    pub load: u64,
    pub trouble: Trouble,
    pub policy: Policy,
}

impl Scenario {
    pub fn all() -> Vec<Scenario> {
        let mut all = Vec::new();
        let mut add = |name, load, trouble, policies: &[Policy]| {
            for policy in policies {
                all.push(Scenario {
                    name,
                    load,
                    trouble,
                    policy: *policy,
                });
            }
        };
        let each = [OURS, RANDOM, ROUND_ROBIN, ONE_QUEUE];
        add("payday 0.8x", 8, Trouble::Nothing, &each);
        add("payday 1x", 10, Trouble::Nothing, &each);
        add(
            "payday 3x",
            30,
            Trouble::Nothing,
            &[OURS, RANDOM, ONE_QUEUE],
        );
        add("payday 10x", 100, Trouble::Nothing, &[OURS, ONE_QUEUE]);
        add("member loss 0.8x", 8, Trouble::Loss, &[OURS, RANDOM]);
        add("drain 0.8x", 8, Trouble::Drain, &[OURS, RANDOM]);
        add("outage 0.8x", 8, Trouble::Outage, &[OURS]);
        add(
            "slow group 0.8x",
            8,
            Trouble::Slow,
            &[OURS, RANDOM, ROUND_ROBIN],
        );
        add("greedy account 3x", 30, Trouble::Greedy, &[OURS, ONE_QUEUE]);
        all
    }
}
