//! How many groups a model needs, by what its callers ask for.

use runrail::logic::direct::{DirectEvent, ModelDemand, PeerMessage};
use runrail::types::{EndpointEntry, InstanceId};

use crate::fixture::{addr, engine, keep_busy, Router, MODEL};

/// Needs of the large and of the small model as the planner logs them.
fn needs(router: &mut Router) -> Vec<f64> {
    router.state().plan.needs_at = 0;
    router.done.clear();
    router.pass(100);
    let notes = router.done.iter().filter_map(|e| match e {
        runrail::logic::Effect::Note(note) if note.code.number() == 638 => Some(note),
        _ => None,
    });
    let needed = notes.filter_map(|n| {
        let field = n.fields.iter().find(|(name, _)| *name == "needed")?;
        field.1.parse().ok()
    });
    needed.collect()
}

/// Twenty-four free endpoints: room for eight large groups.
fn free() -> Vec<(InstanceId, EndpointEntry)> {
    (1..=24).map(|n| engine(n, None)).collect()
}

/// Demand of another router: so many requests a second of so many tokens, whose pauses
/// may last so long.
fn asked(requests: u64, prompt: u64, pause: u64) -> ModelDemand {
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

/// Groups of the large model that are needed for a demand.
fn needed(demand: ModelDemand) -> f64 {
    let mut router = Router::planner(free());
    router
        .state()
        .peers
        .insert(InstanceId::new("r2"), addr(802));
    keep_busy(&mut router, 0.0, 0.1, 3);
    router.tell(DirectEvent::Peer {
        from: addr(802),
        message: PeerMessage::Demand {
            routers: 1,
            models: vec![demand],
        },
    });
    needs(&mut router)[0]
}

#[test]
fn long_prompts_need_more_groups_than_short_ones_of_the_same_work() {
    let short = needed(asked(160, 500, 150));
    let long = needed(asked(20, 4_000, 150));
    assert!(long > short, "{long} {short}");
}

#[test]
fn shorter_pauses_need_more_groups() {
    let patient = needed(asked(20, 1_000, 500));
    let hasty = needed(asked(20, 1_000, 120));
    assert!(hasty > patient, "{hasty} {patient}");
}

#[test]
fn more_requests_need_more_groups_and_none_need_none() {
    let all: Vec<f64> = [0, 5, 20, 60]
        .map(|n| needed(asked(n, 1_000, 300)))
        .to_vec();
    assert!(all.windows(2).all(|w| w[0] <= w[1]), "{all:?}");
    assert!(all[0] <= 1.0 && all[3] > all[1], "{all:?}");
}

/// Requests that nobody could read in time are no reason to want ever more groups.
#[test]
fn demand_that_no_number_of_groups_serves_is_bounded_by_the_instances() {
    let all = needed(asked(1_000_000, 100_000, 1));
    assert!(all <= 8.0, "{all}");
}
