//! Unit tests of the pace of bodies.

use super::*;

#[test]
fn pace_is_sufficient_if_the_rest_can_arrive_in_time() {
    let pace = BodyPace::new(0, 100_000);
    assert_eq!(pace.check_at(), INTERVAL);
    // 20,000 bytes in 2 s: 80,000 more take 8 s.
    assert!(pace.is_sufficient(2 * SECOND, 80_000, 10 * SECOND));
    assert!(!pace.is_sufficient(2 * SECOND, 80_001, 10 * SECOND));
    assert!(!pace.is_sufficient(2 * SECOND, 100_000, 10 * SECOND));
}

#[test]
fn pace_of_the_last_bytes_does_not_matter() {
    let pace = BodyPace::new(0, MAX_SLOW_BYTES + 1);
    assert!(pace.is_sufficient(2 * SECOND, MAX_SLOW_BYTES, 10 * SECOND));
    assert!(!pace.is_sufficient(2 * SECOND, MAX_SLOW_BYTES + 1, 10 * SECOND));
}
