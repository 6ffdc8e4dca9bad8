//! Unit tests of the backoff of discovery calls.

use super::*;

#[test]
fn the_first_retry_is_immediate_and_the_wait_doubles_up_to_its_limit() {
    let mut backoff = Backoff::new();
    let waits: Vec<Nanos> = (0..8).map(|_| backoff.next_wait(60_000 * MS)).collect();
    let wanted = [0, 20, 40, 80, 160, 320, 500, 500].map(|ms| ms * MS);
    assert_eq!(waits, wanted);
    backoff.reset();
    assert_eq!(backoff.next_wait(60_000 * MS), 0);
}

#[test]
fn a_short_grace_of_draining_backends_bounds_the_wait_and_the_connect_timeout() {
    let drain_grace = 100 * MS;
    let mut backoff = Backoff::new();
    let longest = (0..8).map(|_| backoff.next_wait(drain_grace)).max();
    assert_eq!(longest, Some(25 * MS));
    let mode = DiscoveryMode::Pushed { drain_grace };
    assert_eq!(mode.connect_timeout(), 50 * MS);
    assert_eq!(DiscoveryMode::Polled.connect_timeout(), CONNECT_TIMEOUT);
}

#[test]
fn one_backoff_is_in_progress_at_a_time() {
    let mut backoff = Backoff::new();
    assert!(backoff.begin());
    assert!(!backoff.begin());
    backoff.end();
    assert!(backoff.begin());
}
