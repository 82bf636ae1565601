//! How many groups a model needs for its demand.

use runrail::logic::direct::{DirectEvent, ModelDemand, PeerMessage};
use runrail::logic::{Effect, LogCode};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, engine, keep_busy, Router, MODEL};

/// Groups that the large and the small model need, as the planner logs them.
pub fn needs(router: &mut Router) -> Vec<f64> {
    router.state().plan.needs_due = 0;
    router.effects.clear();
    router.advance_ms(100);
    let events = router.effects.iter().filter_map(|e| match e {
        Effect::Log(event) if event.code.number() == 638 => Some(event),
        _ => None,
    });
    let needed = events.filter_map(|n| {
        let field = n.fields.iter().find(|(name, _)| *name == "needed")?;
        field.1.parse().ok()
    });
    needed.collect()
}

/// Twenty-four free endpoints: room for eight large groups.
fn free() -> Vec<(InstanceId, EndpointEntry)> {
    (1..=24).map(|n| engine(n, None)).collect()
}

/// Demand at another router: `requests` per second with prompts of `prompt` tokens, whose
/// answers may pause for `pause` ms.
pub fn demand(requests: u64, prompt: u64, pause: u64) -> ModelDemand {
    ModelDemand {
        requests: requests * 1_000,
        prompt: requests * prompt,
        square: requests * prompt * prompt,
        answer: requests * 60,
        pause: requests * pause,
        first: requests * 400,
        value: requests * 1_000,
        ..ModelDemand::none(&MODEL.into())
    }
}

/// Groups of the large model that a demand needs.
fn needed(demand: ModelDemand) -> f64 {
    let mut router = Router::planner(free());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(802));
    keep_busy(&mut router, 0.0, 0.1, 3);
    router.tell(DirectEvent::PeerMessage {
        from: addr(802),
        message: PeerMessage::Demand {
            routers: 1,
            models: vec![demand],
            accounts: Vec::new(),
            trends: Vec::new(),
        },
    });
    needs(&mut router)[0]
}

#[test]
fn long_prompts_need_more_groups_than_short_ones_of_the_same_work() {
    let short = needed(demand(160, 500, 150));
    let long = needed(demand(20, 4_000, 150));
    assert!(long > short, "{long} {short}");
}

#[test]
fn shorter_pauses_need_more_groups() {
    let long_pauses = needed(demand(20, 1_000, 500));
    let short_pauses = needed(demand(20, 1_000, 120));
    assert!(short_pauses > long_pauses, "{short_pauses} {long_pauses}");
}

#[test]
fn more_requests_need_more_groups_and_none_need_none() {
    let all: Vec<f64> = [0, 5, 20, 60]
        .map(|n| needed(demand(n, 1_000, 300)))
        .to_vec();
    assert!(all.windows(2).all(|w| w[0] <= w[1]), "{all:?}");
    assert!(all[0] <= 1.0 && all[3] > all[1], "{all:?}");
}

/// Prompts that no number of groups could read in time must not raise the need without
/// bound.
#[test]
fn demand_that_no_number_of_groups_serves_is_bounded_by_the_instances() {
    let all = needed(demand(1_000_000, 100_000, 1));
    assert!(all <= 8.0, "{all}");
}

/// A model that no domain can hold was refused all day without a word.
#[test]
fn a_model_that_fits_no_domain_is_named_once() {
    let entries = (1..=2).map(|n| engine(n, None)).collect();
    let mut router = Router::planner(entries);
    router.advance_ms(12_000);
    let misfits = router.effects.iter().filter_map(|e| match e {
        Effect::Log(event) if event.code == LogCode::ModelMisfit => Some(event.to_string()),
        _ => None,
    });
    let misfits: Vec<_> = misfits.collect();
    assert_eq!(misfits.len(), 1, "{misfits:?}");
    for part in ["model=\"big\"", "size=\"3\"", "largest_domain=\"2\""] {
        assert!(misfits[0].contains(part), "{misfits:?}");
    }
    assert_eq!(router.state().plan.misfits.len(), 1);
}
