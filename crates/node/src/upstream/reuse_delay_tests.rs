//! Unit tests of the delay before a connection is reused.

use super::*;

#[test]
fn connections_rest_before_any_unexpected_bytes_were_seen() {
    assert_eq!(ReuseDelay::default().at(0), MIN_DELAY);
}

#[test]
fn delay_covers_the_longest_lateness_of_the_last_minute() {
    let mut delay = ReuseDelay::default();
    delay.record_unexpected_bytes(30 * MS, SECOND);
    delay.record_unexpected_bytes(2 * MS, 2 * SECOND);
    assert_eq!(delay.at(2 * SECOND), 60 * MS);
    assert_eq!(delay.at(2 * SECOND + OBSERVATION_PERIOD), MIN_DELAY);
}

#[test]
fn delay_is_bounded() {
    let mut delay = ReuseDelay::default();
    delay.record_unexpected_bytes(0, 0);
    assert_eq!(delay.at(1), MIN_DELAY);
    delay.record_unexpected_bytes(Nanos::MAX, 0);
    assert_eq!(delay.at(1), MAX_DELAY);
}
