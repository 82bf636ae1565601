//! The initial placement of groups in domains.

use runrail::logic::direct::plan::{place, PlacementInput, PlacementModel};

fn models() -> Vec<PlacementModel> {
    let model = |size, share| PlacementModel { size, share };
    vec![model(4, 570), model(3, 430)]
}

#[test]
fn no_model_stands_in_one_domain_only_where_there_is_room() {
    let input = PlacementInput {
        domains: vec![9, 9, 9],
        models: models(),
    };
    let placed = place(&input);
    for model in 0..2 {
        let domains = placed.iter().filter(|mix| mix[model] > 0).count();
        assert!(domains >= 2, "{placed:?}");
    }
    for (mix, n) in placed.iter().zip(&input.domains) {
        assert!(mix[0] * 4 + mix[1] * 3 <= *n);
    }
}

#[test]
fn small_and_empty_domains_are_placed_without_harm() {
    for domains in [vec![], vec![0], vec![2, 3], vec![4]] {
        let input = PlacementInput {
            domains: domains.clone(),
            models: models(),
        };
        for (mix, n) in place(&input).iter().zip(domains) {
            assert!(mix[0] * 4 + mix[1] * 3 <= n);
        }
    }
}

#[test]
fn large_domains_are_placed_within_bounds() {
    let model = |size, share| PlacementModel { size, share };
    let input = PlacementInput {
        domains: vec![37; 4],
        models: vec![model(16, 600), model(4, 400)],
    };
    let placed = place(&input);
    assert!(placed.iter().all(|mix| mix[0] * 16 + mix[1] * 4 <= 37));
    for model in 0..2 {
        assert!(placed.iter().any(|mix| mix[model] > 0), "{placed:?}");
    }
}

/// Guards against a placement whose time grows with the cube of the domains, which kept the
/// planner of a large fleet from handling anything else for seconds.
#[test]
fn a_thousand_domains_are_placed_like_a_few() {
    let of = |count| PlacementInput {
        domains: vec![9; count],
        models: models(),
    };
    let share = |placed: &[Vec<usize>]| {
        let groups: usize = placed.iter().map(|mix| mix[0]).sum();
        groups as f64 / placed.len() as f64
    };
    let (few, many) = (place(&of(12)), place(&of(1_000)));
    assert!(many.iter().all(|mix| mix[0] * 4 + mix[1] * 3 <= 9));
    let difference = (share(&few) - share(&many)).abs();
    assert!(difference < 0.2, "{} {}", share(&few), share(&many));
}

/// Worth of a placement, computed independently of the code under test.
fn worth(input: &PlacementInput, placed: &[Vec<usize>]) -> f64 {
    let capacity = |without: Option<usize>| -> f64 {
        let of = |(m, model): (usize, &PlacementModel)| {
            let there = placed.iter().enumerate();
            let there = there.filter(|(d, _)| Some(*d) != without);
            let groups: usize = there.map(|(_, mix)| mix[m]).sum();
            let share = model.share as f64 / 1_000.0;
            let all: usize = input.domains.iter().sum();
            let ratio = (groups * model.size) as f64 / (all as f64 * share).max(1.0);
            share * ratio / (ratio + 0.35)
        };
        input.models.iter().enumerate().map(of).sum()
    };
    let after_loss: f64 = (0..placed.len()).map(|d| capacity(Some(d))).sum();
    let domain_worths: f64 = placed
        .iter()
        .zip(&input.domains)
        .map(|(mix, n)| {
            let used: usize = mix.iter().zip(&input.models).map(|(c, m)| c * m.size).sum();
            let spares = n.saturating_sub(used).min(2) as f64;
            let model_count = mix.iter().filter(|c| **c > 0).count();
            0.02 * spares.sqrt() + 0.015 * model_count.saturating_sub(1) as f64
        })
        .sum();
    let scenarios = placed.len() as f64;
    (capacity(None) * scenarios + after_loss) / (2.0 * scenarios) + domain_worths / scenarios
}

proptest::proptest! {
    /// Changing the groups of any single domain doesn't raise the worth.
    #[test]
    fn placing_ends_where_no_single_domain_can_be_filled_better(
        domains in proptest::collection::vec(0usize..20, 1..6),
        first in 1usize..6,
        second in 1usize..6,
        share in 100u64..900,
    ) {
        let model = |size, share| PlacementModel { size, share };
        let input = PlacementInput { domains, models: vec![model(first, share), model(second, 1_000 - share)] };
        let placed = place(&input);
        let reached = worth(&input, &placed);
        for d in 0..placed.len() {
            for a in 0..=input.domains[d] / first {
                for b in 0..=(input.domains[d] - a * first) / second {
                    let mut other = placed.clone();
                    other[d] = vec![a, b];
                    let better = worth(&input, &other);
                    proptest::prop_assert!(better <= reached + 1e-6, "{placed:?} {other:?}: {better} {reached}");
                }
            }
        }
    }
}
