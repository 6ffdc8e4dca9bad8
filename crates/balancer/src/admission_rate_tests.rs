//! Unit tests of the admission rate and its token bucket.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{MS, settings};

/// A rate at a time after the first arrival window, in which nothing was completed.
fn started_long_ago() -> (AdmissionRate, Nanos) {
    let timescale = Timescale::new(&settings(Idempotency::Idempotent), 0);
    (AdmissionRate::new(timescale, MS), 10_000 * MS)
}

#[test]
fn the_rate_has_no_limit_before_the_first_arrival_window_is_over() {
    let (rate, _) = started_long_ago();
    assert_eq!(rate.per_second(500 * MS), 1_000.0);
    assert!(rate.per_second(700 * MS) < 2.0);
}

#[test]
fn a_part_of_what_is_received_is_started_whatever_is_completed() {
    let (mut rate, now) = started_long_ago();
    (0..60).for_each(|_| rate.on_received());
    // A fifth of sixty requests, in a window of 0.6 s.
    assert!((rate.per_second(now) - 20.0).abs() < 1e-9);
}

#[test]
fn fast_completions_let_the_rate_grow_and_slow_ones_hold_it_down() {
    let (mut rate, now) = started_long_ago();
    rate.set_completions(12.0, 0.01);
    assert!(
        (rate.per_second(now) - 100.0).abs() < 1e-9,
        "five times 12 in 0.6 s"
    );
    rate.set_completions(12.0, 0.39);
    assert!(
        (rate.per_second(now) - 10.0).abs() < 1e-9,
        "half of 12 in 0.6 s"
    );
}

#[test]
fn an_attempt_that_used_no_capacity_gives_its_token_back() {
    let (mut rate, _) = started_long_ago();
    rate.on_sent();
    assert!(!rate.covers(AdmissionCost::MAY_USE_RESERVE));
    rate.on_ended(Outcome::Timeout, 0.3);
    assert!(!rate.covers(AdmissionCost::MAY_USE_RESERVE));
    rate.on_ended(Outcome::ConnectFailed, 0.0);
    assert!(rate.covers(AdmissionCost::MAY_USE_RESERVE));
    assert!(!rate.covers(AdmissionCost::KEEPS_RESERVE));
}

#[test]
fn a_wake_up_is_wanted_once_for_when_the_tokens_suffice() {
    let (mut rate, now) = started_long_ago();
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
fn tokens_are_kept_up_to_the_reserve_and_no_further_at_a_low_rate() {
    let (mut rate, now) = started_long_ago();
    rate.refill(now, 1_000.0);
    assert!(rate.covers(AdmissionCost::KEEPS_RESERVE));
    rate.on_sent();
    rate.on_sent();
    assert!(!rate.covers(AdmissionCost::KEEPS_RESERVE));
}
