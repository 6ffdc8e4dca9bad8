//! Unit tests of the slow-start budget.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{MS, endpoint, record, settings};

/// A fifth of the capacity at first, all of it after 10 s, an overload at three times that for 2 s.
fn slow_start(proxy_count: f64) -> SlowStart {
    let mut settings = settings(Idempotency::Idempotent);
    settings.rules.slow_start_initial_capacity = 0.2;
    settings.rules.slow_start_duration = 10_000 * MS;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2_000 * MS;
    SlowStart::new(&settings.rules, &Timescale::new(&settings, 0), proxy_count)
}

fn started(at: Nanos) -> Endpoint {
    Endpoint {
        started_at: Some(at),
        ..endpoint(0)
    }
}

#[test]
fn capacity_rises_evenly_over_the_duration() {
    let slow_start = slow_start(1.0);
    let fraction = |now| slow_start.capacity_fraction(now, &started(0));
    assert_eq!((fraction(0), fraction(10_000 * MS)), (0.2, 1.0));
    assert!((fraction(5_000 * MS) - 0.6).abs() < 1e-12);
    assert_eq!(
        slow_start.capacity_fraction(0, &endpoint(0)),
        1.0,
        "started long ago"
    );
}

#[test]
fn a_warm_backend_is_not_limited_and_a_starting_one_needs_a_whole_token() {
    let slow_start = slow_start(1.0);
    assert!(slow_start.allows(0, &record(endpoint(0))));
    let mut starting = record(started(0));
    starting.slow_start_tokens = SlowStartTokens::new(0.99);
    assert!(!slow_start.allows(MS, &starting));
    starting.slow_start_tokens = SlowStartTokens::new(1.5);
    assert!(slow_start.allows(MS, &starting));
    starting.slow_start_tokens.spend();
    assert!(!slow_start.allows(MS, &starting));
}

#[test]
fn tokens_come_at_half_of_what_is_believed_safe_and_are_kept_for_the_overload_duration() {
    let mut slow_start = slow_start(1.0);
    slow_start.set_completions(40.0, 4.0);
    // Half of three times the fifth of ten a second.
    let mut tokens = SlowStartTokens::default();
    slow_start.refill(&mut tokens, 0.2, 1.0);
    assert!((tokens.0 - 3.0).abs() < 1e-12);
    slow_start.refill(&mut tokens, 0.2, 100.0);
    assert!((tokens.0 - 6.0).abs() < 1e-12);
}

#[test]
fn tokens_for_two_attempts_are_kept_at_the_least() {
    let slow_start = slow_start(300.0);
    let mut tokens = SlowStartTokens::default();
    slow_start.refill(&mut tokens, 0.2, 1_000.0);
    assert_eq!(tokens.0, 2.0);
}
