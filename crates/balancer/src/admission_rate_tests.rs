//! Unit tests of the admission rate and its token bucket.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{MS, settings};

/// A rate without completions, and a time after the first arrival window.
fn rate_after_first_window() -> (AdmissionRate, Nanos) {
    let timescale = Timescale::new(&settings(Idempotency::Idempotent), 0);
    (AdmissionRate::new(timescale, MS), 10_000 * MS)
}

#[test]
fn rate_is_one_attempt_a_tick_during_the_first_arrival_window() {
    let (rate, _) = rate_after_first_window();
    assert_eq!(rate.attempts_per_second(500 * MS), 1_000.0);
    assert!(rate.attempts_per_second(700 * MS) < 2.0);
}

#[test]
fn rate_is_at_least_a_fifth_of_the_requests_received() {
    let (mut rate, now) = rate_after_first_window();
    (0..60).for_each(|_| rate.on_received());
    // A fifth of 60 requests in a window of 0.6 s is 20 per second.
    assert!((rate.attempts_per_second(now) - 20.0).abs() < 1e-9);
}

#[test]
fn rate_grows_with_fast_completions_and_falls_with_slow_ones() {
    let (mut rate, now) = rate_after_first_window();
    rate.set_completions(12.0, 0.01);
    assert!(
        (rate.attempts_per_second(now) - 100.0).abs() < 1e-9,
        "the rate is five times 12 completions in 0.6 s"
    );
    rate.set_completions(12.0, 0.39);
    assert!(
        (rate.attempts_per_second(now) - 10.0).abs() < 1e-9,
        "the rate is half of 12 completions in 0.6 s"
    );
}

#[test]
fn attempt_that_used_no_capacity_returns_its_token() {
    let (mut rate, _) = rate_after_first_window();
    rate.on_sent();
    assert!(!rate.covers(AdmissionCost::MAY_USE_RESERVE));
    rate.on_ended(Outcome::Timeout, 0.3);
    assert!(!rate.covers(AdmissionCost::MAY_USE_RESERVE));
    rate.on_ended(Outcome::ConnectFailed, 0.0);
    assert!(rate.covers(AdmissionCost::MAY_USE_RESERVE));
    assert!(!rate.covers(AdmissionCost::KEEPS_RESERVE));
}

#[test]
fn wake_up_is_scheduled_once_for_the_time_when_the_tokens_suffice() {
    let (mut rate, now) = rate_after_first_window();
    rate.on_sent();
    let wait = 1_000 * MS * 6 / 10 + MS;
    assert_eq!(
        rate.next_wake(now, AdmissionCost::MAY_USE_RESERVE),
        Some(now + wait)
    );
    assert_eq!(rate.next_wake(now, AdmissionCost::MAY_USE_RESERVE), None);
    rate.refill(now + wait, 10.0);
    assert_eq!(
        rate.next_wake(now + wait, AdmissionCost::MAY_USE_RESERVE),
        None
    );
}

#[test]
fn bucket_holds_the_reserve_and_two_more_tokens_at_a_low_rate() {
    let (mut rate, now) = rate_after_first_window();
    rate.refill(now, 1_000.0);
    assert!(rate.covers(AdmissionCost::KEEPS_RESERVE));
    rate.on_sent();
    rate.on_sent();
    assert!(!rate.covers(AdmissionCost::KEEPS_RESERVE));
}
