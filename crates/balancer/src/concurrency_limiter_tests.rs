//! Unit tests of the concurrency limits.

use super::*;

fn sample(outcome: Outcome, latency_ratio: f64) -> LoadSample {
    LoadSample {
        outcome,
        latency_ratio,
        ratio_to_mean: latency_ratio,
        at: 7,
    }
}

/// Limit of a backend with `in_flight` attempts in flight after 200 equal samples.
fn limit_after_samples(limiter: &ConcurrencyLimiter, in_flight: usize, sample: &LoadSample) -> f64 {
    let mut load = BackendLoad::new(limiter.initial_limit());
    (0..in_flight).for_each(|_| load.on_sent(0));
    (0..200).for_each(|_| limiter.adjust(&mut load, sample, 0.01));
    load.concurrency_limit()
}

#[test]
fn limit_of_a_busy_backend_grows_with_fast_answers_up_to_its_maximum() {
    let limiter = ConcurrencyLimiter::new(1.0, 0.3);
    assert_eq!(limiter.initial_limit(), 1.0);
    // All proxies together may have 4 attempts in flight at a backend; a single proxy may have 4
    // plus the square root of 4.
    assert_eq!(
        limit_after_samples(&limiter, 6, &sample(Outcome::Success, 1.0)),
        6.0
    );
    // Without attempts in flight, the limit stops growing once it has reached 2.
    let unused = limit_after_samples(&limiter, 0, &sample(Outcome::Success, 1.0));
    assert!((2.0..2.1).contains(&unused), "{unused}");
}

#[test]
fn maximum_limit_is_lower_if_attempts_take_half_of_the_shortest_objective() {
    let limiter = ConcurrencyLimiter::new(1.0, 0.3);
    let mut load = BackendLoad::new(1.0);
    (0..6).for_each(|_| load.on_sent(0));
    // An attempt of 0.15 s that waits for another one of 0.15 s is still answered within the
    // objective of 0.3 s, but not if it waits for two of them.
    (0..200).for_each(|_| limiter.adjust(&mut load, &sample(Outcome::Success, 1.0), 0.15));
    assert_eq!(load.concurrency_limit(), 2.0);
}

#[test]
fn slow_answers_timeouts_and_rejections_shrink_limit_to_its_minimum() {
    let limiter = ConcurrencyLimiter::new(2.0, 0.3);
    for (outcome, ratio) in [
        (Outcome::Success, 4.0),
        (Outcome::Timeout, 0.1),
        (Outcome::Overloaded, 0.1),
    ] {
        let limit = limit_after_samples(&limiter, 2, &sample(outcome, ratio));
        assert_eq!(limit, 0.5, "{outcome:?}");
    }
    assert_eq!(
        limit_after_samples(&limiter, 2, &sample(Outcome::Reset, 9.0)),
        1.0
    );
}

#[test]
fn one_attempt_may_always_be_in_flight_at_a_backend() {
    let mut load = BackendLoad::new(0.2);
    assert!(load.has_capacity() && load.is_idle());
    load.on_sent(5);
    assert!(!load.has_capacity());
    load.on_ended(5);
    assert!(load.has_capacity() && load.summed_wait_seconds(100.0) == 0.0);
}

#[test]
fn load_of_a_restarted_backend_keeps_only_its_attempts_in_flight() {
    let limiter = ConcurrencyLimiter::new(1.0, 0.3);
    let mut load = BackendLoad::new(1.0);
    load.on_sent(2_000_000_000);
    limiter.adjust(&mut load, &sample(Outcome::Timeout, 9.0), 0.01);
    let restarted = load.restarted(1.0);
    assert_eq!(
        (restarted.in_flight(), restarted.summed_wait_seconds(3.0)),
        (1.0, 1.0)
    );
    assert_eq!(
        (restarted.latency_ratio(), restarted.concurrency_limit()),
        (1.0, 1.0)
    );
}

#[test]
fn share_of_a_backend_limit_is_below_one_attempt_with_eleven_or_more_proxies() {
    for (proxy_count, is_below_one) in [(1.0, false), (10.0, false), (11.0, true), (300.0, true)] {
        assert_eq!(
            ConcurrencyLimiter::new(proxy_count, 0.3).is_below_one(),
            is_below_one,
            "{proxy_count} proxies"
        );
    }
}

#[test]
fn pressure_reduces_the_total_limit_to_no_less_than_one_attempt() {
    let mut limiter = ConcurrencyLimiter::new(1.0, 0.3);
    limiter.set_total(8.0, 1.0);
    (0..7).for_each(|_| limiter.on_sent());
    assert!(!limiter.is_full());
    limiter.set_total(8.0, 2.0 * OVERLOAD_RATIO);
    assert!(limiter.is_full());
    (0..7).for_each(|_| limiter.on_ended());
    limiter.set_total(8.0, 100.0);
    assert!(!limiter.is_full());
}

#[test]
fn unanswered_attempts_raise_pressure_up_to_a_maximum() {
    let mut service_times = ServiceTimes::default();
    service_times.on_ended(Outcome::Success, 0.1, 0.0);
    let mut load = BackendLoad::new(1.0);
    let mut idle_pressure = Pressure::default();
    idle_pressure.add(&load, &service_times, 0);
    assert_eq!(idle_pressure.value(), 1.0);
    load.on_sent(0);
    let mut waiting_pressure = Pressure::default();
    waiting_pressure.add(&load, &service_times, 3_600_000_000_000);
    assert!((waiting_pressure.value() - 4.0).abs() < 1e-9);
}
