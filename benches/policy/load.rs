//! Requests of the simulated minute with their classes, accounts and answer lengths.

use std::sync::Arc;

use runrail::types::{AccountSpec, BundleBody, ClassSpec, ModelKind, ModelSpec};

use crate::scenario::{Disturbance, Scenario};

/// Groups of one member each, and the requests that each of them runs at once.
pub const GROUPS: u64 = 30;
pub const SLOTS_PER_GROUP: u64 = 8;
/// Length of the minute in which requests arrive.
pub const ARRIVAL_MS: u64 = 60_000;
/// Time to the first piece of an answer, and between two pieces.
pub const FIRST_PIECE_MS: u64 = 60;
pub const PIECE_INTERVAL_MS: u64 = 40;
/// Nominal number of pieces of an answer, by class. The number is drawn from half of it up to
/// one and a half times it, both rounded down.
const URGENT_PIECES: u64 = 5;
const DRAFTING_PIECES: u64 = 60;
/// Share of urgent requests, in tenths.
const URGENT_TENTHS: u64 = 7;

pub struct Arrival {
    pub at_ms: u64,
    pub router: usize,
    pub urgent: bool,
    pub account: &'static str,
    pub pieces: u64,
}

pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mean_run_ms = (URGENT_TENTHS * (FIRST_PIECE_MS + URGENT_PIECES * PIECE_INTERVAL_MS)
        + (10 - URGENT_TENTHS) * (FIRST_PIECE_MS + DRAFTING_PIECES * PIECE_INTERVAL_MS))
        / 10;
    let capacity = GROUPS * SLOTS_PER_GROUP * ARRIVAL_MS / mean_run_ms;
    let count = capacity * scenario.load_tenths / 10;
    let mut arrivals: Vec<_> = (0..count)
        .map(|_| {
            let urgent = rng.u64(0..10) < URGENT_TENTHS;
            let nominal_pieces = if urgent {
                URGENT_PIECES
            } else {
                DRAFTING_PIECES
            };
            let from_large = scenario.disturbance == Disturbance::Greedy && rng.u64(0..11) > 0;
            Arrival {
                // Half of the requests arrive in the first quarter of the minute, as when all
                // branches open at once; the other half at any time of it.
                at_ms: if rng.bool() {
                    rng.u64(0..ARRIVAL_MS / 4)
                } else {
                    rng.u64(0..ARRIVAL_MS)
                },
                router: rng.usize(0..3),
                urgent,
                account: if from_large {
                    "large"
                } else {
                    ["a", "b", "c"][rng.usize(0..3)]
                },
                pieces: nominal_pieces / 2 + rng.u64(0..=nominal_pieces),
            }
        })
        .collect();
    arrivals.sort_by_key(|a| a.at_ms);
    arrivals
}

pub fn bundle_body() -> BundleBody {
    let class = |name: &str, priority, reserved, preempt, deadline_ms| ClassSpec {
        name: Arc::from(name),
        priority,
        reserved,
        preempt,
        repeat: true,
        deadline_ms,
    };
    let account = |name: &str| AccountSpec {
        name: Arc::from(name),
        key_sha256: Arc::from(name),
        classes: vec![Arc::from("urgent"), Arc::from("drafting")],
        share: 1,
        limit: 1_000_000,
    };
    BundleBody {
        title: "bench".into(),
        models: vec![ModelSpec {
            name: Arc::from("m"),
            version: Arc::from("1"),
            kind: ModelKind::Service,
            role: Default::default(),
            adapters: Vec::new(),
            instances: 1,
            per_hall: GROUPS as u32,
            floor: 0,
            value: 1,
            load_ms: 1,
        }],
        classes: vec![
            class("urgent", 0, 2, false, 2_000),
            class("drafting", 5, 0, true, 20_000),
        ],
        accounts: ["a", "b", "c", "large"].map(account).into(),
        ..BundleBody::default()
    }
}
