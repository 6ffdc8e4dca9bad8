//! Unit tests of the running statistics.

use super::*;

#[test]
fn moving_mean_keeps_its_minimum_and_raise_minimum_stops_at_the_mean() {
    let mut mean = MovingMean::default();
    for value in [1.0, 3.0, 2.0, 5.0] {
        mean.add(value, 2.0);
    }
    assert_eq!(
        mean,
        MovingMean {
            mean: 3.5,
            count: 2.0,
            minimum: 1.0
        }
    );
    mean.raise_minimum(0.5);
    assert_eq!(mean.minimum, 1.5);
    mean.raise_minimum(9.0);
    assert_eq!(mean.minimum, 3.5);
}

#[test]
fn histogram_detects_the_most_frequent_fraction_as_values_change() {
    let mut histogram = FractionHistogram::default();
    assert!(histogram.add(0.51));
    for n in 0..100 {
        assert!(histogram.add(0.51));
        assert!(!histogram.add(if n % 2 == 0 { 0.2 } else { 0.9 }));
    }
    assert!(histogram.add(0.5) && histogram.add(0.54) && !histogram.add(f64::NAN));
    for _ in 0..600 {
        histogram.add(7.0);
    }
    assert!(histogram.add(1.0) && !histogram.add(0.51));
}

#[test]
fn prior_weighted_mean_is_one_without_terms_and_follows_added_terms() {
    let mut sum = DecayedSum::default();
    assert_eq!(sum.prior_weighted_mean(2.0), 1.0);
    sum.add(2.0, 6.0);
    assert_eq!(sum.prior_weighted_mean(2.0), 2.0);
    sum.decay(0.5);
    assert_eq!(
        sum,
        DecayedSum {
            count: 1.0,
            sum: 3.0
        }
    );
}
