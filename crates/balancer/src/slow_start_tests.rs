//! Unit tests of slow start.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{MS, endpoint, record, settings};

/// Initial capacity 0.2, full capacity after 10 s, overload at three times the capacity for 2 s.
fn slow_start(proxy_count: f64) -> SlowStart {
    let mut settings = settings(Idempotency::Idempotent);
    settings.rules.slow_start_initial_capacity = 0.2;
    settings.rules.slow_start_duration = 10_000 * MS;
    settings.rules.overload_multiple = 3.0;
    settings.rules.overload_duration = 2_000 * MS;
    SlowStart::new(&settings.rules, &Timescale::new(&settings, 0), proxy_count)
}

fn endpoint_started_at(at: Nanos) -> Endpoint {
    Endpoint {
        started_at: Some(at),
        ..endpoint(0)
    }
}

#[test]
fn capacity_rises_linearly_over_the_slow_start_duration() {
    let slow_start = slow_start(1.0);
    let fraction = |now| slow_start.capacity_fraction(now, &endpoint_started_at(0));
    assert_eq!((fraction(0), fraction(10_000 * MS)), (0.2, 1.0));
    assert!((fraction(5_000 * MS) - 0.6).abs() < 1e-12);
    assert_eq!(
        slow_start.capacity_fraction(0, &endpoint(0)),
        1.0,
        "a backend without a start time has its full capacity"
    );
}

#[test]
fn only_backends_in_slow_start_need_a_whole_token() {
    let slow_start = slow_start(1.0);
    assert!(slow_start.allows(0, &record(endpoint(0))));
    let mut starting = record(endpoint_started_at(0));
    starting.slow_start_tokens = SlowStartTokens::new(0.99);
    assert!(!slow_start.allows(MS, &starting));
    starting.slow_start_tokens = SlowStartTokens::new(1.5);
    assert!(slow_start.allows(MS, &starting));
    starting.slow_start_tokens.spend();
    assert!(!slow_start.allows(MS, &starting));
}

#[test]
fn bucket_refills_at_half_the_safe_rate_and_holds_one_overload_duration_of_it() {
    let mut slow_start = slow_start(1.0);
    slow_start.set_completions(40.0, 4.0);
    // The safe rate is 3 * 0.2 * 10 = 6 attempts per second; half of it is 3 per second.
    let mut tokens = SlowStartTokens::default();
    slow_start.refill(&mut tokens, 0.2, 1.0);
    assert!((tokens.0 - 3.0).abs() < 1e-12);
    slow_start.refill(&mut tokens, 0.2, 100.0);
    assert!((tokens.0 - 6.0).abs() < 1e-12);
}

#[test]
fn bucket_size_is_at_least_two_attempts() {
    let slow_start = slow_start(300.0);
    let mut tokens = SlowStartTokens::default();
    slow_start.refill(&mut tokens, 0.2, 1_000.0);
    assert_eq!(tokens.0, 2.0);
}
