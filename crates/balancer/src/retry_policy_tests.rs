//! Unit tests of the retry budget and of overdue attempts.

use super::*;

const MS: Nanos = 1_000_000;

#[test]
fn five_first_attempts_pay_for_a_retry_and_ten_retries_are_kept() {
    let mut retries = RetryPolicy::default();
    (0..4).for_each(|_| retries.on_first_attempt());
    assert!(!retries.has_token());
    retries.on_first_attempt();
    assert!(retries.has_token());
    retries.spend();
    assert!(!retries.has_token());
    (0..1_000).for_each(|_| retries.on_first_attempt());
    let retries_spent = std::iter::repeat_with(|| retries.has_token().then(|| retries.spend()))
        .take_while(Option::is_some)
        .count();
    assert_eq!(retries_spent, 10);
}

#[test]
fn an_attempt_is_overdue_after_a_multiple_of_what_is_expected_and_a_part_of_the_objective() {
    assert_eq!(overdue_after(0.05, None, 300 * MS), 400 * MS);
    assert_eq!(overdue_after(0.05, Some(10 * MS), 300 * MS), 480 * MS);
    assert_eq!(overdue_after(0.001, None, 300 * MS), 75 * MS);
}
