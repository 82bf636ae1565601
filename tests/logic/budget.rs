//! The retry budget: requests add the tokens that retries spend.

use runrail::logic::router::RetryBudget;

/// Number of retries that a process may send for so many requests, each of which is retried
/// if the budget allows it, from its start.
fn retries_of_process(requests: u32) -> u32 {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..requests {
        budget.add_request();
        retries += u32::from(budget.try_spend());
    }
    retries
}

/// Guards against a budget that starts with tokens: a process that restarts again and again
/// would retry far more than a tenth of its requests.
#[test]
fn restarts_of_a_process_add_no_retries_to_its_share() {
    let retries: u32 = (0..5).map(|_| retries_of_process(20)).sum();
    assert_eq!(retries, 5 * 20 / 10);
}
