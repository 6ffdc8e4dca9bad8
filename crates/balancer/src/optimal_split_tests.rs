//! Unit tests of the optimal split, against shares calculated by hand.

use super::optimal_split;

fn assert_near(actual: &[f64], expected: &[f64]) {
    assert!(
        actual
            .iter()
            .zip(expected)
            .all(|(a, b)| (a - b).abs() < 1e-9),
        "{actual:?} {expected:?}"
    );
}

#[test]
fn shares_match_values_calculated_by_hand() {
    assert_near(&optimal_split(0.2, &[0.45, 0.55]), &[0.25, 0.75]);
    // Only the fastest backend gets a share; the slower ones are removed one by one.
    assert_near(
        &optimal_split(0.01, &[0.5, 0.1, 0.0, 0.2]),
        &[1.0, 0.0, 0.0, 0.0],
    );
    // If the arrivals reach the summed rates, or nearly do, the shares are proportional to the
    // rates.
    assert_near(&optimal_split(0.9, &[0.2, 0.4]), &[1.0 / 3.0, 2.0 / 3.0]);
    assert_near(
        &optimal_split(0.6 - 1e-12, &[0.2, 0.4]),
        &[1.0 / 3.0, 2.0 / 3.0],
    );
    assert_near(&optimal_split(0.5, &[]), &[]);
    let sum: f64 = optimal_split(0.7, &[0.3, 0.2, 0.5, 0.05]).iter().sum();
    assert_near(&[sum], &[1.0]);
}
