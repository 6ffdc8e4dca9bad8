//! Unit tests of the retry budget and of overdue attempts.

use super::*;

const MS: Nanos = 1_000_000;

#[test]
fn budget_gains_a_retry_per_five_first_attempts_and_holds_ten() {
    let mut budget = RetryPolicy::default();
    (0..4).for_each(|_| budget.on_first_attempt());
    assert!(!budget.has_token());
    budget.on_first_attempt();
    assert!(budget.has_token());
    budget.spend();
    assert!(!budget.has_token());
    (0..1_000).for_each(|_| budget.on_first_attempt());
    let retries_spent = std::iter::repeat_with(|| budget.has_token().then(|| budget.spend()))
        .take_while(Option::is_some)
        .count();
    assert_eq!(retries_spent, 10);
}

#[test]
fn attempt_is_overdue_after_a_multiple_of_the_expected_latency() {
    assert_eq!(overdue_after(0.05, None, 300 * MS), 400 * MS);
    assert_eq!(overdue_after(0.05, Some(10 * MS), 300 * MS), 480 * MS);
    assert_eq!(overdue_after(0.001, None, 300 * MS), 75 * MS);
}
