//! Unit tests of the backoff of discovery calls.

use super::*;

#[test]
fn first_retry_is_immediate_then_the_delay_doubles_up_to_its_limit() {
    let mut backoff = Backoff::new();
    let delays: Vec<Nanos> = (0..8).map(|_| backoff.next_delay(60_000 * MS)).collect();
    let expected = [0, 20, 40, 80, 160, 320, 500, 500].map(|ms| ms * MS);
    assert_eq!(delays, expected);
    backoff.reset();
    assert_eq!(backoff.next_delay(60_000 * MS), 0);
}

#[test]
fn short_drain_grace_limits_the_backoff_and_the_connect_timeout() {
    let drain_grace = 100 * MS;
    let mut backoff = Backoff::new();
    let max_delay = (0..8).map(|_| backoff.next_delay(drain_grace)).max();
    assert_eq!(max_delay, Some(25 * MS));
    let mode = DiscoveryMode::Pushed { drain_grace };
    assert_eq!(mode.connect_timeout(), 50 * MS);
    assert_eq!(DiscoveryMode::Polled.connect_timeout(), CONNECT_TIMEOUT);
}

#[test]
fn failure_during_a_backoff_starts_no_second_backoff() {
    let mut backoff = Backoff::new();
    assert!(backoff.begin());
    assert!(!backoff.begin());
    backoff.end();
    assert!(backoff.begin());
}
