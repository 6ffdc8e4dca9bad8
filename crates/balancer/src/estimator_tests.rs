//! Unit tests of the estimator.

use super::*;
use crate::settings::Idempotency;
use crate::test_support::{MS, settings};

fn estimator() -> Estimator {
    Estimator::new(Timescale::new(&settings(Idempotency::Idempotent), 0))
}

#[test]
fn service_rate_per_time_slot_is_concurrency_over_latency_and_below_one() {
    assert!((service_rate(0.1, 0.001) - 0.08).abs() < 1e-12);
    assert_eq!(service_rate(0.001, 0.01), 0.99);
}

#[test]
fn estimated_latency_includes_the_prior_and_the_wait_of_attempts_in_flight() {
    let mut service_times = ServiceTimes::default();
    assert_eq!(service_times.estimated_latency(0.0, 0.3), 0.3);
    (0..9).for_each(|_| service_times.on_ended(Outcome::Success, 0.1, 0.0));
    assert!((service_times.estimated_latency(0.0, 0.3) - 0.12).abs() < 1e-12);
    assert!((service_times.estimated_latency(1.0, 0.3) - 0.22).abs() < 1e-12);
}

#[test]
fn rejections_and_failed_connections_count_as_slow_and_bad_requests_not_at_all() {
    let cases = [
        (Outcome::Success, 0.01, 1.0),
        (Outcome::ConnectFailed, 0.3, 0.0),
        (Outcome::Overloaded, 0.3, 0.0),
        (Outcome::Timeout, 0.01, 0.0),
        (Outcome::BadRequest, 0.0, 0.0),
    ];
    for (outcome, latency_sum, completions) in cases {
        let mut service_times = ServiceTimes::default();
        service_times.on_ended(outcome, 0.01, 0.3);
        assert_eq!(
            (service_times.latency_sum(), service_times.completions()),
            (latency_sum, completions)
        );
    }
}

#[test]
fn completion_time_constant_spans_the_target_number_of_completions() {
    let mut estimator = estimator();
    // Without arrivals, even the maximum time constant of ten latency objectives is too short.
    assert_eq!(estimator.completion_time_constant(10_000 * MS, 4), 3.0);
    assert!(estimator.is_data_sparse(10_000 * MS, 4));
    // 60 arrivals in a window of 0.6 s are 100 per second, or 20 for each of five backends.
    (0..60).for_each(|_| estimator.on_first_attempt());
    assert!((estimator.arrival_rate(100_000 * MS) - 100.0).abs() < 1e-6);
    assert!((estimator.completion_time_constant(100_000 * MS, 5) - 0.6).abs() < 1e-6);
    assert!(!estimator.is_data_sparse(100_000 * MS, 5));
}

#[test]
fn estimable_backends_get_twelve_completions_each_in_ten_latency_objectives() {
    let mut estimator = estimator();
    estimator.set_first_attempts(1_200.0);
    // 60 arrivals per second for 20 s: 180 in ten latency objectives, enough for 15 backends.
    assert!((estimator.estimable_backends(20_000 * MS) - 15.0).abs() < 1e-9);
}

#[test]
fn latencies_of_a_kind_of_machine_are_pooled_relative_to_the_class_mean() {
    let mut estimator = estimator();
    (0..64).for_each(|_| estimator.on_completion(KindId(1), 0.2, 0.1));
    estimator.on_completion(KindId(2), 0.2, 0.0);
    let mean = |kind| estimator.kinds()[&KindId(kind)].prior_weighted_mean(0.0);
    assert!((mean(1) - 2.0).abs() < 1e-9 && mean(2) == 1.0);
}
