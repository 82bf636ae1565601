//! Retries draw on what requests have earned.

use runrail::logic::router::RetryBudget;

/// Requests and retries of one life of a process.
fn life(requests: u32) -> u32 {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..requests {
        budget.earn();
        retries += u32::from(budget.spend());
    }
    retries
}

/// Each start had retries saved up, so that a process which was killed again and again sent
/// far more than a tenth of its requests anew.
#[test]
fn lives_of_a_process_together_keep_to_the_share_of_their_requests() {
    let retries: u32 = (0..5).map(|_| life(20)).sum();
    assert_eq!(retries, 5 * 20 / 10);
}
