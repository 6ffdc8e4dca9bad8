//! Tests of the split against shares worked out by hand.

use super::shares;

fn near(found: &[f64], wanted: &[f64]) {
    assert!(found.iter().zip(wanted).all(|(a, b)| (a - b).abs() < 1e-9), "{found:?} {wanted:?}");
}

#[test]
fn shares_by_hand() {
    near(&shares(0.2, &[0.45, 0.55]), &[0.25, 0.75]);
    // Only the fastest is worth its share; the slowest leave one by one.
    near(&shares(0.01, &[0.5, 0.1, 0.0, 0.2]), &[1.0, 0.0, 0.0, 0.0]);
    // At and over the summed rates: proportional, which is the limit from below.
    near(&shares(0.9, &[0.2, 0.4]), &[1.0 / 3.0, 2.0 / 3.0]);
    near(&shares(0.6 - 1e-12, &[0.2, 0.4]), &[1.0 / 3.0, 2.0 / 3.0]);
    near(&shares(0.5, &[]), &[]);
    let sum: f64 = shares(0.7, &[0.3, 0.2, 0.5, 0.05]).iter().sum();
    near(&[sum], &[1.0]);
}
