//! Load of a router to which the balancer sends most new connections.
//!
//! The load of the whole fleet stays the same, and its heads have room for all of it.

use std::collections::BTreeMap;

use runrail::logic::direct::{
    Digest, DirectEffect, DirectEvent, Fingerprint, ModelDemand, RunPart,
};
use runrail::logic::router::StoreEntry;
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{
    addr, at, empty_digest, open_group, piece, receive_digest, request, Router, FENCE, MODEL,
};

/// Routers of the fleet.
const ROUTERS: u64 = 10;

/// Requests a second of the whole fleet: 120 are in flight at a time, of 192 slots.
const FLEET_PER_S: u64 = 100;

/// Time from the start of a run to its first event, between two events, and to its end.
const FIRST_EVENT_MS: u64 = 120;
const EVENT_MS: u64 = 60;
const RUN_MS: u64 = 1_200;

/// Time between two steps.
const STEP_MS: u64 = 20;

/// Time between two digests of the planner.
const DIGEST_MS: u64 = 400;

/// Slots of a head.
const SLOTS: usize = 48;

/// A router of a fleet, and its runs.
struct Load {
    router: Router,
    /// Runs by number: the time of the start, and the head.
    runs: BTreeMap<u64, (u64, InstanceId)>,
    digests: u64,
    requests: u64,
    /// Requests that were sent to a head, and that were refused.
    sent: usize,
    refused: usize,
    /// Most runs at a head at a time.
    most: usize,
}

fn heads() -> Vec<(InstanceId, EndpointEntry)> {
    let group = |n: u16| open_group(&format!("g{n}"), [10 * n, 10 * n + 1, 10 * n + 2]);
    (0..4).flat_map(group).collect()
}

impl Load {
    fn new() -> Self {
        let names = (0..ROUTERS).map(|n| InstanceId::new(&format!("r{n}")));
        let names: Vec<_> = names.collect();
        let mut router = Router::named("r1", &names, heads());
        let entry = |(n, id): (usize, &InstanceId)| StoreEntry {
            key: format!("runrail/router/{id}"),
            value: addr(2_000 + n as u16).to_string(),
            revision: 1,
        };
        router.store_entries = names.iter().enumerate().map(entry).collect();
        Self {
            router,
            runs: BTreeMap::new(),
            digests: 0,
            requests: 0,
            sent: 0,
            refused: 0,
            most: 0,
        }
    }

    /// Sends so many requests a second to the router for some time.
    fn run_for(&mut self, per_s: u64, ms: u64) {
        (self.sent, self.refused, self.most) = (0, 0, 0);
        assert_eq!(self.router.state().peers.len() as u64 + 1, ROUTERS);
        let mut due = 0;
        for step in 0..ms / STEP_MS {
            if step * STEP_MS % DIGEST_MS == 0 {
                self.receive_demand();
            }
            due += per_s * STEP_MS;
            while due >= 1_000 {
                due -= 1_000;
                self.send();
            }
            self.router.advance_ms(STEP_MS);
            self.handle_effects();
            self.advance_runs();
        }
    }

    /// The planner's digest with the demand of the fleet.
    fn receive_demand(&mut self) {
        self.digests += 1;
        let demand = ModelDemand {
            requests: FLEET_PER_S * 1_000,
            prompt: FLEET_PER_S * 1_000,
            ..ModelDemand::none(&MODEL.into())
        };
        let digest = Digest {
            told: ROUTERS,
            demand: vec![demand],
            ..empty_digest(self.digests, at(FENCE))
        };
        receive_digest(&mut self.router, digest);
    }

    fn send(&mut self) {
        self.requests += 1;
        let mut request = request(self.requests, "/stream/x");
        request.prompt_tokens = 1_000;
        request.fingerprint = Fingerprint::of(&[&self.requests.to_be_bytes()]);
        self.router.tell(DirectEvent::Request(Box::new(request)));
        self.handle_effects();
    }

    fn handle_effects(&mut self) {
        for effect in self.router.take_effects() {
            match effect {
                DirectEffect::Run(run) => {
                    self.sent += 1;
                    let at = self.runs.values().filter(|(_, to)| *to == run.to).count() + 1;
                    self.most = self.most.max(at);
                    self.runs.insert(run.run, (self.router.now, run.to));
                }
                DirectEffect::Refuse { .. } => self.refused += 1,
                _ => {}
            }
        }
    }

    fn part(&mut self, run: u64, part: RunPart) {
        self.router.tell(DirectEvent::RunPart { run, part });
        self.handle_effects();
    }

    fn advance_runs(&mut self) {
        let now = self.router.now;
        let age = |from: &u64| now - from;
        let is_due = |from: &u64| age(from) >= FIRST_EVENT_MS && age(from) % EVENT_MS == 0;
        let due = self.runs.iter().filter(|(_, (from, _))| is_due(from));
        let due: Vec<_> = due.map(|(run, (from, _))| (*run, age(from))).collect();
        for (run, age) in due {
            if age == FIRST_EVENT_MS {
                self.part(run, RunPart::Head);
            }
            self.part(run, piece(age / EVENT_MS));
        }
        let ended = self.runs.iter();
        let ended = ended.filter(|(_, (from, _))| now >= from + RUN_MS);
        for run in ended.map(|(run, _)| *run).collect::<Vec<_>>() {
            self.runs.remove(&run);
            self.part(run, RunPart::End);
        }
    }
}

/// Guards against shares that take the load of all routers to be equal: the router with most of the
/// callers would refuse what the heads have room for.
#[test]
fn a_router_with_most_callers_serves_what_the_heads_have_room_for() {
    let mut load = Load::new();
    load.run_for(FLEET_PER_S / ROUTERS, 6_000);
    assert_eq!(load.refused, 0);
    load.run_for(FLEET_PER_S, 3_000);
    load.run_for(FLEET_PER_S, 5_000);
    let (sent, refused) = (load.sent, load.refused);
    assert!(
        sent * 4 >= (sent + refused) * 3,
        "{sent} sent, {refused} refused"
    );
    assert!(load.most <= SLOTS, "{} runs at a head", load.most);
}

/// Guards against a router that takes more than its share of the slots while all routers have more
/// to do than the heads have room for.
#[test]
fn a_router_keeps_to_its_share_while_all_are_overloaded() {
    let mut load = Load::new();
    load.run_for(FLEET_PER_S / ROUTERS, 6_000);
    load.run_for(FLEET_PER_S * 3 / 2 / ROUTERS, 5_000);
    let share = SLOTS / ROUTERS as usize;
    assert!(load.most <= 3 * share, "{} runs at a head", load.most);
}

/// Guards against a share that outlasts its callers.
#[test]
fn the_share_falls_once_callers_are_spread_again() {
    let mut load = Load::new();
    load.run_for(FLEET_PER_S, 4_000);
    let of_model = |load: &mut Load| load.router.state().demand.shares.ppm(&MODEL.into());
    assert!(of_model(&mut load).is_some_and(|ppm| ppm >= 900_000));
    load.run_for(FLEET_PER_S / ROUTERS, 2_000);
    assert_eq!(of_model(&mut load), None, "an even one");
}
