//! Arrivals of the minute: classes, accounts, lengths.

use std::sync::Arc;

use runrail::types::{AccountSpec, BundleBody, ClassSpec, ModelKind, ModelSpec};

use crate::scenario::{Scenario, Trouble};

/// Groups and the slots of each.
pub const GROUPS: u64 = 30;
pub const SLOTS: u64 = 8;
/// Length of the minute in milliseconds.
pub const MINUTE: u64 = 60_000;
/// Time to the first piece and between pieces, in milliseconds.
pub const PREFILL: u64 = 60;
pub const PIECE: u64 = 40;
const URGENT_PIECES: u64 = 5;
const DRAFT_PIECES: u64 = 60;
/// Of ten requests so many are urgent.
const URGENT_OF_TEN: u64 = 7;

pub struct Arrival {
    pub at: u64,
    pub router: usize,
    pub urgent: bool,
    pub account: &'static str,
    pub pieces: u64,
}

pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mean = (URGENT_OF_TEN * (PREFILL + URGENT_PIECES * PIECE)
        + (10 - URGENT_OF_TEN) * (PREFILL + DRAFT_PIECES * PIECE))
        / 10;
    let capacity = GROUPS * SLOTS * MINUTE / mean;
    let count = capacity * scenario.load / 10;
    let mut all: Vec<_> = (0..count)
        .map(|_| {
            let urgent = rng.u64(0..10) < URGENT_OF_TEN;
            let base = if urgent { URGENT_PIECES } else { DRAFT_PIECES };
            let greedy = scenario.trouble == Trouble::Greedy && rng.u64(0..11) > 0;
            Arrival {
                // All branches open at once: half of the load comes in the first quarter.
                at: if rng.bool() {
                    rng.u64(0..MINUTE / 4)
                } else {
                    rng.u64(0..MINUTE)
                },
                router: rng.usize(0..3),
                urgent,
                account: if greedy {
                    "large"
                } else {
                    ["a", "b", "c"][rng.usize(0..3)]
                },
                pieces: base / 2 + rng.u64(0..=base),
            }
        })
        .collect();
    all.sort_by_key(|a| a.at);
    all
}

pub fn body() -> BundleBody {
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
